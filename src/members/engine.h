// One node's part in the membership: it watches a few others, says whom it misses, and agrees with a majority on who
// is a member. Events and time go in, datagrams and news for the log come out; no I/O, no clock, no thread.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "members/parts.h"
#include "members/view.h"
#include "members/wire.h"

namespace troutstage::members {

// In tenths of a millisecond.
struct Timing {
  TenthsOfMs pulse = 500;           // how often the engine is to be woken
  TenthsOfMs probe = 3000;          // each watched node is probed once in
  TenthsOfMs answer = 1000;         // others are asked to probe it after
  TenthsOfMs suspect = 12000;       // without a sign of life it is suspected after
  TenthsOfMs confirm_most = 12000;  // suspected for so long it is accused;
  TenthsOfMs confirm_least = 4000;  // so long, where all its other watchers suspect it too
  TenthsOfMs roll_call = 10000;     // members are asked once in whether they hold to the view
  TenthsOfMs lost = 70000;          // a majority that was not known of for so long is lost
  int helpers = 3;              // asked to probe
  // A pause of the node itself that it takes note of: what it missed meanwhile is held against nobody.
  TenthsOfMs late() const { return suspect / 3; }
};

struct Setup {
  Index node = 0;
  std::uint32_t roster = 1;   // how many peers are listed
  std::uint32_t cluster = 0;
  std::uint64_t life = 0;     // Unix time in milliseconds at the process's start
  std::string name, zone;
  std::uint64_t seed = 0;
  Timing timing;
  Sharing sharing;
  std::string resumed;        // what snapshot() gave of another process of the same node; empty: none
};

struct Came {
  Index from = kNone;  // by the address that it came from
  std::string_view bytes;
};
struct Pulse {};
struct Leave {};  // the node stops: it wants to be no member any more
struct NewRoster {
  std::uint32_t roster = 1;
};
// As if it had been told of this: the laboratory explores what follows in every order.
struct Propose {
  std::vector<Index> left;
};
// As if these had greeted it as lost: the same. It does so only where it has lost the majority itself.
struct FormAnew {
  std::vector<Member> together;
};
using MemberEvent = std::variant<Came, Pulse, Leave, NewRoster, Propose, FormAnew>;

struct Send {
  Index to = kNone;
  std::string bytes;
  std::size_t kind = 0;  // of kKindNames
};
struct Note {
  enum class What { suspected, refuted, accused, view_accepted, formed, majority_lost, majority_back, paused };
  What what = What::suspected;
  Index node = kNone;
  std::uint64_t number = 0;
  std::size_t size = 0;  // of the view
  std::vector<Index> came, died, left;
};
inline constexpr std::array kNoteNames{"suspected", "refuted",       "accused",       "view_accepted",
                                       "formed",    "majority_lost", "majority_back", "paused"};

struct Output {
  std::vector<Send> sends;
  std::vector<Note> notes;
  Dropped dropped = Dropped::none;  // the datagram that came had no effect
  std::size_t came = 0;             // its kind, where it had one
};

enum class State { alive, suspect, dead, left };
struct Known {
  Index node = kNone;
  std::string name, zone;
  State state = State::alive;
  std::uint64_t incarnation = 0;  // its life and how often it refuted suspicions: rises
};
struct Status {
  Index self = 0;
  bool member = false, in_majority = false, has_left = false;  // has_left: those who decide were told so
  std::uint64_t incarnation = 0;
  double part = 0;  // of a whole of 1 that all nodes share
  std::vector<Known> known;
};

class Engine {
 public:
  Engine(const Setup& setup, TenthsOfMs now);
  ~Engine();
  Engine(Engine&&) noexcept;
  Engine(const Engine& other);  // goes on by itself from the same state
  const Output& decide(TenthsOfMs now, const MemberEvent& event);
  const View& view() const;   // the last that was agreed on, as far as this node knows
  Status status(TenthsOfMs now) const;
  double part(TenthsOfMs now) const;
  bool accuses_any() const;
  std::uint64_t agreeing() const;  // a hash of all that its next words on a change of the view depend on
  std::uint64_t stands_by() const;  // the newest view that it holds or has accepted; 0: none
  std::string snapshot() const;  // for a process that goes on as the same member

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace troutstage::members
