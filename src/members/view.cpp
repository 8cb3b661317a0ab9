#include "members/view.h"

#include <xxhash.h>
#include <zlib.h>

#include <algorithm>
#include <numeric>

#include "members/wire.h"

namespace troutstage::members {
namespace {

constexpr std::uint64_t kCounter = 0xfff;
constexpr std::size_t kMostChange = 256 * 1024;  // unpacked

}  // namespace

std::uint64_t formed_number(std::uint64_t at_ms, Index by) {
  return at_ms << 23 | static_cast<std::uint64_t>(by) << 12;
}
bool has_next_number(std::uint64_t number) { return (number & kCounter) != kCounter; }

const Member* View::find(Index node) const {
  const auto at = std::lower_bound(members.begin(), members.end(), node,
                                   [](const Member& m, Index n) { return m.node < n; });
  return at != members.end() && at->node == node ? &*at : nullptr;
}
bool View::has(Index node, std::uint64_t life) const {
  const Member* m = find(node);
  return m != nullptr && m->life == life;
}

// Packed, since a fleet's names and zones are much alike.
std::string encode(const Change& change) {
  msgpack::sbuffer plain;
  msgpack::packer<msgpack::sbuffer> out(plain);
  out.pack_array(7);
  out.pack(change.base).pack(change.number).pack(change.roster).pack(change.dead).pack(change.left);
  // The oldest life, and the others as times since then: these are short.
  std::uint64_t oldest = UINT64_MAX;
  for (const Member& m : change.added) oldest = std::min(oldest, m.life);
  out.pack(oldest);
  out.pack_array(static_cast<std::uint32_t>(change.added.size()));
  for (const Member& m : change.added) {
    out.pack_array(4);
    out.pack(m.node).pack(m.life - oldest).pack(m.name).pack(m.zone);
  }
  uLongf size = ::compressBound(plain.size());
  std::string packed(size, '\0');
  const bool fits = ::compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
                                reinterpret_cast<const Bytef*>(plain.data()), plain.size(), 9) == Z_OK;
  if (!fits || size >= plain.size()) return "p" + std::string(plain.data(), plain.size());
  packed.resize(size);
  return "z" + packed;
}

std::optional<Change> decode_change(std::string_view bytes) {
  if (bytes.empty() || bytes.size() > kMostChange) return std::nullopt;
  std::string plain;
  if (bytes[0] == 'z') {
    plain.resize(kMostChange);
    uLongf size = kMostChange;
    if (::uncompress(reinterpret_cast<Bytef*>(plain.data()), &size,
                     reinterpret_cast<const Bytef*>(bytes.data() + 1), bytes.size() - 1) != Z_OK)
      return std::nullopt;
    plain.resize(size);
  } else {
    plain = bytes.substr(1);
  }
  try {
    const auto handle = unpack(plain);
    const Fields all(handle.get(), 7);
    Change c;
    all.get(0, c.base), all.get(1, c.number), all.get(2, c.roster), all.get(3, c.dead), all.get(4, c.left);
    std::uint64_t oldest = 0;
    all.get(5, oldest);
    std::vector<msgpack::object> added;
    all.get(6, added);
    for (const auto& one : added) {
      const Fields fields(one, 4);
      Member m;
      fields.get(0, m.node), fields.get(1, m.life), fields.get(2, m.name), fields.get(3, m.zone);
      m.life += oldest;
      if (m.node >= kMostNodes || m.name.size() > kMostName || m.zone.size() > kMostName) return std::nullopt;
      c.added.push_back(std::move(m));
    }
    if (c.number == 0 || c.roster == 0 || c.roster > kMostNodes) return std::nullopt;
    return c;
  } catch (const std::exception&) {  // what msgpack throws, and a field that is missing
    return std::nullopt;
  }
}

Change whole(const View& view) { return {0, view.number, view.roster, {}, {}, view.members}; }

std::optional<View> apply(const View& base, const Change& change) {
  if (change.base != 0 && change.base != base.number) return std::nullopt;
  View next{change.number, change.roster, {}};
  if (change.base != 0) next.members = base.members;
  const auto take_out = [&](Index node) {
    return std::erase_if(next.members, [&](const Member& m) { return m.node == node; }) == 1;
  };
  for (Index node : change.dead)
    if (!take_out(node)) return std::nullopt;
  for (Index node : change.left)
    if (!take_out(node)) return std::nullopt;
  for (const Member& m : change.added) {
    take_out(m.node);  // an earlier life
    next.members.push_back(m);
  }
  std::sort(next.members.begin(), next.members.end(),
            [](const Member& a, const Member& b) { return a.node < b.node; });
  for (const Member& m : next.members)
    if (m.node >= change.roster) return std::nullopt;
  return next;
}

Rings::Rings(std::uint32_t roster) : roster_(roster) {
  for (std::uint64_t r = 0; r < kRings; ++r) {
    std::vector<Index> ring(roster), place(roster);
    std::iota(ring.begin(), ring.end(), 0);
    // Ordered by a hash, not drawn: what a generator and a shuffle give is each library's own.
    const auto key = [&](Index n) { return std::pair(XXH64(&n, sizeof n, r + 1), n); };
    std::sort(ring.begin(), ring.end(), [&](Index a, Index b) { return key(a) < key(b); });
    for (Index at = 0; at < roster; ++at) place[ring[at]] = at;
    ring_.push_back(std::move(ring));
    place_.push_back(std::move(place));
  }
}

std::vector<std::vector<Index>> Rings::watchers(const View& view) const {
  std::vector<char> in(roster_, 0);
  for (const Member& m : view.members)
    if (m.node < roster_) in[m.node] = 1;
  std::vector<std::vector<Index>> all;
  const std::size_t others = view.members.empty() ? 0 : view.members.size() - 1;
  for (const Member& m : view.members) {
    std::vector<Index> chosen;
    for (std::size_t r = 0; m.node < roster_ && chosen.size() < std::min(kRings, others); r = (r + 1) % kRings) {
      for (std::uint32_t at = place_[r][m.node], step = 1; step < roster_; ++step) {
        const Index before = ring_[r][(at + roster_ - step) % roster_];
        if (!in[before] || std::find(chosen.begin(), chosen.end(), before) != chosen.end()) continue;
        chosen.push_back(before);
        break;
      }
    }
    all.push_back(std::move(chosen));
  }
  return all;
}

}  // namespace troutstage::members
