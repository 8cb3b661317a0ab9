// Bounds the time at which a client wrote the last byte of a request body that this node is still reading.
//
// The time limit of a request counts from that moment, and it can lie long before the byte arrives: while the
// node reads slowly, the rest of the body waits in the send buffer of the client's machine, which the node
// can't see. What the node can observe is how many bytes have arrived, and whether the socket is empty. A
// look at the socket shows that the last byte was unwritten if
//  - more bytes are missing than a send buffer holds, or
//  - bytes are missing although the client's machine has nothing more to send.
// An empty socket alone does not show the latter: after the node has read on, the bytes of a full send buffer
// take a while to arrive. If the node has paused in its reading, so that the send buffer may have filled, an
// empty socket counts only once nothing has arrived for kSettleTime, or less than a receive window in that
// time while the node kept reading. If the length of the body is not known, bytes that arrive later show how
// far the client was at an earlier look.
//
// Usage: call add() for each look, in the order of time. The class does no I/O, reads no clock and is not
// thread-safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace troutstage::core {

// Observes one body.
class UploadEstimate {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  // How long a client's machine may take to send what it has once the node has read on.
  static constexpr std::chrono::milliseconds kSettleTime{60};
  // A pause in the node's reading up to this length lets no send buffer fill.
  static constexpr std::chrono::milliseconds kMaxReadPause{10};

  // The largest send buffer that Linux gives to a connection by itself, and the piece that may exceed it.
  static constexpr std::uint64_t kMaxSendBufferBytes = (4 << 20) + (256 << 10);

  // A look at the client's socket. Bytes are counted from the start of the connection.
  struct Look {
    // The look began at this time.
    TimePoint at;
    // Bytes that have arrived, read or unread.
    std::uint64_t arrived_bytes = 0;
    // All of them have been read.
    bool is_empty = false;
    // How long ago the node last read, or tried to.
    TimePoint::duration read_pause{};
  };

  // `started_at`: the last byte was unwritten then. `end`: the count of arrived bytes at which the body is
  // whole; empty: not known. `min_receive_window`: the least that the client's machine may send at once while
  // the socket is empty.
  UploadEstimate(TimePoint started_at, std::optional<std::uint64_t> end, std::uint64_t min_receive_window)
      : unwritten_until_(started_at), end_(end), min_receive_window_(min_receive_window) {}
  // Adds a look that was made before the whole body was read.
  void add(const Look& look);
  // The last byte was still unwritten at this time.
  TimePoint unwritten_until() const { return unwritten_until_; }

 private:
  bool was_unwritten_at(const Look& look);
  bool is_sender_idle(const Look& look);
  bool has_drained(const Look& look);
  void add_sample(const Look& look);

  TimePoint unwritten_until_;
  const std::optional<std::uint64_t> end_;
  const std::uint64_t min_receive_window_;
  // The node has paused in its reading, and the client's machine was not seen idle since.
  bool may_hold_more_ = false;
  // The first of the latest looks that found the socket empty and the same count of bytes.
  std::optional<Look> empty_since_;
  // Since this look the node has read without a pause.
  Look reading_since_;
  // If the end is not known: looks that do not show yet whether the last byte was unwritten, oldest first.
  std::deque<Look> samples_;
};

}  // namespace troutstage::core
