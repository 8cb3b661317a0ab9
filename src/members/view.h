// The set of nodes that a majority has agreed on, and the changes that lead from one to the next. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decide.h"

namespace troutstage::members {

// Nodes are numbered as in the list of peers.
struct Member {
  Index node = kNone;
  std::uint64_t life = 0;  // when the process started: another life of the same name is another member
  std::string name, zone;  // of up to kMostName bytes each
  bool operator==(const Member&) const = default;
};
inline constexpr std::size_t kMostName = 24;
inline constexpr std::size_t kMostNodes = 2000;

// A number tells who made it and when, so that no two views that are formed anew have the same: milliseconds since
// 2024 (till 2093), the node that formed it, and the changes since then.
std::uint64_t formed_number(std::uint64_t at_ms, Index by);
bool has_next_number(std::uint64_t number);
inline std::uint64_t formed_at(std::uint64_t number) { return number >> 23; }
inline Index formed_by(std::uint64_t number) { return static_cast<Index>(number >> 12 & 0x7ff); }

struct View {
  std::uint64_t number = 0;  // 0: none yet
  std::uint32_t roster = 0;  // how many peers there are, in it or not: a majority is more than half of these
  std::vector<Member> members;  // by node
  const Member* find(Index node) const;
  bool has(Index node, std::uint64_t life) const;
  std::size_t majority() const { return roster / 2 + 1; }
  bool operator==(const View&) const = default;
};

// From one view to the next; `base` 0 stands for a view formed anew, or told whole.
struct Change {
  std::uint64_t base = 0, number = 0;
  std::uint32_t roster = 0;
  std::vector<Index> dead, left;
  std::vector<Member> added;
};
std::string encode(const Change& change);
std::optional<Change> decode_change(std::string_view bytes);  // nothing where it can't be read
Change whole(const View& view);
std::optional<View> apply(const View& base, const Change& change);  // nothing where it doesn't fit

// Who watches whom: on each of some fixed rings of all nodes, the next member before one watches it. Every node
// finds the same without being told, and a change of the view moves few of the pairs.
class Rings {
 public:
  explicit Rings(std::uint32_t roster);
  static constexpr std::size_t kRings = 6;
  // The nodes that watch each member, by its place in the view: kRings of them, or all others where there are fewer.
  std::vector<std::vector<Index>> watchers(const View& view) const;

 private:
  std::uint32_t roster_;
  std::vector<std::vector<Index>> ring_, place_;
};

}  // namespace troutstage::members
