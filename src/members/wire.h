// The datagrams between nodes: MessagePack, of up to 256 bytes each.
#pragma once

#ifndef MSGPACK_NO_BOOST
#define MSGPACK_NO_BOOST
#endif
#include <array>
#include <msgpack.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "decide.h"

namespace troutstage::members {

inline constexpr std::size_t kMostDatagram = 256;
inline constexpr std::size_t kMostPiece = 150;  // of a change, beside the rest of its datagram
inline constexpr std::uint32_t kVersion = 2;
inline constexpr std::uint32_t kNoAge = 65535;

// Limits on what is read: no datagram makes its reader take much memory. `most` is of one text, in bytes: what one process
// leaves for the next holds whole views.
inline msgpack::object_handle unpack(std::string_view bytes, std::size_t most = 64 * 1024) {
  std::size_t end = 0;
  auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr,
                                msgpack::unpack_limit(4096, 64, most, most, 64, 4));
  if (end != bytes.size()) throw std::runtime_error("bytes after its end");
  return handle;
}

// The fields of a list that must have so many of them.
class Fields {
 public:
  Fields(const msgpack::object& list, std::size_t count) : list_(list) {
    if (list.type != msgpack::type::ARRAY || list.via.array.size != count) throw std::runtime_error("no such list");
  }
  template <class Value>
  void get(std::size_t n, Value& into) const {
    list_.via.array.ptr[n].convert(into);
  }

 private:
  const msgpack::object& list_;
};

// What each says of its sender.
struct Header {
  std::uint32_t cluster = 0;
  Index from = kNone;
  std::uint64_t life = 0;
  std::uint32_t refuted = 0;   // how often it refuted a suspicion in this life
  std::uint64_t number = 0;    // of its view
  std::uint32_t age = kNoAge;  // how long ago its view is known to have been the newest, in tenths of a millisecond
                               // times 8; kNoAge: too long
};

// Spread with probes and their answers.
struct News {
  enum class What : std::uint8_t { suspect, well };
  What what = What::well;
  Index node = kNone;
  std::uint64_t life = 0;
  std::uint32_t refuted = 0;
  Index by = kNone;  // who suspects it
  MSGPACK_DEFINE(what, node, life, refuted, by)
};

struct Probe {
  std::uint32_t nonce = 0;
  bool suspects = false;   // the sender suspects its receiver
  bool roll_call = false;  // asks whether the receiver holds to its view
  std::vector<News> news;
  MSGPACK_DEFINE(nonce, suspects, roll_call, news)
};
struct Ack {
  std::uint32_t nonce = 0;
  Index about = kNone;  // who is well: the sender, or whom it was asked to probe
  bool holds = false;   // it is a member and has accepted nothing newer than its view
  std::vector<News> news;
  MSGPACK_DEFINE(nonce, about, holds, news)
};
struct Ask {  // to probe another
  std::uint32_t nonce = 0;
  Index whom = kNone;
  MSGPACK_DEFINE(nonce, whom)
};
struct Hello {  // by one that is no member, or has lost the majority
  std::uint32_t echo = 0;  // the receiver's last cookie: shows that both ways are open
  bool lost = false;
  std::string name, zone;
  MSGPACK_DEFINE(echo, lost, name, zone)
};
struct Welcome {
  std::uint32_t cookie = 0;
  std::uint64_t your_life = 0;  // the newest that was heard of
  bool spent = false;           // it has left a view: a member again only as a new one
  bool lost = false;
  Index lead = kNone;  // the lowest of those that have lost the majority
  MSGPACK_DEFINE(cookie, your_life, spent, lost, lead)
};
struct Statement {  // to those who may propose a change
  enum class What : std::uint8_t { accuses, clears, vouches, leaves };
  std::uint32_t id = 0;  // rises at each sender
  What what = What::clears;
  Index node = kNone;
  std::uint64_t life = 0;
  std::uint32_t refuted = 0;
  std::string name, zone;  // vouches
  MSGPACK_DEFINE(id, what, node, life, refuted, name, zone)
};
struct Heard {
  std::uint32_t id = 0;
  MSGPACK_DEFINE(id)
};
struct Prepare {
  std::uint64_t base = 0, ballot = 0;
  MSGPACK_DEFINE(base, ballot)
};
struct Promise {
  std::uint64_t base = 0, ballot = 0;
  std::uint64_t promised = 0, accepted = 0, hash = 0;  // `promised` over `ballot`: refused
  MSGPACK_DEFINE(base, ballot, promised, accepted, hash)
};
struct Offer {
  std::uint64_t base = 0, ballot = 0, number = 0, hash = 0;
  std::uint32_t size = 0;
  std::string piece;  // the change's first bytes
  MSGPACK_DEFINE(base, ballot, number, hash, size, piece)
};
struct Offered {
  std::uint64_t base = 0, ballot = 0, promised = 0;
  bool accepted = false;
  MSGPACK_DEFINE(base, ballot, promised, accepted)
};
struct Commit {
  std::uint64_t number = 0, hash = 0;
  MSGPACK_DEFINE(number, hash)
};
struct Fetch {  // what leads on from a view, or a change by its hash
  bool view = false;
  std::uint64_t have = 0, hash = 0;
  std::uint32_t at = 0;
  MSGPACK_DEFINE(view, have, hash, at)
};
struct Piece {
  std::uint64_t hash = 0;
  std::uint32_t size = 0, at = 0;
  std::string bytes;
  bool agreed = false;  // it led to the sender's view
  MSGPACK_DEFINE(hash, size, at, bytes, agreed)
};

using Body = std::variant<Probe, Ack, Ask, Hello, Welcome, Statement, Heard, Prepare, Promise, Offer, Offered,
                          Commit, Fetch, Piece>;
inline constexpr std::array kKindNames{"probe",  "ack",     "ask",     "hello", "welcome", "statement", "heard",
                                       "prepare", "promise", "offer", "offered", "commit", "fetch",    "piece"};
static_assert(kKindNames.size() == std::variant_size_v<Body>);

struct Message {
  Header header;
  Body body;
};

std::string encode(const Message& message);

enum class Dropped { none, unknown_address, too_long, unreadable, version, cluster, sender, old_life, count };
inline constexpr std::array kDroppedNames{"none",    "unknown_address", "too_long", "unreadable",
                                          "version", "cluster",         "sender",   "old_life"};
static_assert(kDroppedNames.size() == static_cast<std::size_t>(Dropped::count));

// What came, or why it has no effect. It never throws.
std::variant<Message, Dropped> decode(std::string_view bytes, std::uint32_t cluster);

}  // namespace troutstage::members

MSGPACK_ADD_ENUM(troutstage::members::News::What)
MSGPACK_ADD_ENUM(troutstage::members::Statement::What)
