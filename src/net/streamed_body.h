// The part of a request body that is not buffered: it is read from the client at the pace at which the
// backend accepts it. Knows by when the request has to be answered, which depends on when the client wrote
// the last byte.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "core/upload_estimate.h"
#include "net/connection_access.h"
#include "net/http.h"

namespace troutstage::net {

// Used by the thread that runs the exchange. Once the access to the client's connection has ended, the body
// ends too.
class StreamedBody {
 public:
  // `remaining_body`: what `reader` has not read yet from the connection `client_fd`. `answer_time`: how long
  // the client waits for its answer after it wrote the last byte. `min_receive_window`: see
  // core::UploadEstimate.
  // `client_fd`, `reader` and `arrival` belong to the connection and are used through `access` only.
  StreamedBody(ConnectionAccess& access, int client_fd, Reader& reader, core::ArrivalEstimate& arrival,
               Body& remaining_body, std::chrono::milliseconds answer_time, std::uint64_t min_receive_window);
  // Reads the next piece from the client. `cut` also if the access has ended, or as soon as `is_cancelled()`.
  ReadResult next(std::string& piece, const std::function<bool()>& is_cancelled);
  // Looks at the client's connection. Returns the time by which the request has to be answered, as far as is
  // known now: while the client has not written the last byte, later looks return later times. A time in the
  // past if the access ended before the body was sent whole: the rest of the body must not be sent then.
  TimePoint answer_deadline();

  const Body& remaining_body() const { return remaining_body_; }
  std::chrono::milliseconds answer_time() const { return answer_time_; }
  // The last byte was surely unwritten then, as far as is known.
  TimePoint unwritten_until() const { return answer_deadline_ - answer_time_; }
  // Reading began, so the request can't be sent again.
  bool is_partly_consumed() const { return is_partly_consumed_; }
  // Notes that the whole body has been written to the backend.
  void set_sent() { sent_at_ = TimePoint::clock::now(); }
  // When the client wrote the last byte, as far as is known; empty: it has not been read. Only valid once the
  // access to the client's connection has ended.
  std::optional<TimePoint> last_byte_at() const { return last_byte_at_; }
  // The epoch of the clock: the body has not been written whole.
  TimePoint sent_at() const { return sent_at_; }

 private:
  bool is_sent() const { return sent_at_ != TimePoint(); }
  void look();
  void set_read_whole();
  void add_look(TimePoint now, std::size_t unread);

  ConnectionAccess& access_;
  const int client_fd_;
  Reader& reader_;
  core::ArrivalEstimate& arrival_;
  Body& remaining_body_;
  const std::chrono::milliseconds answer_time_;
  core::UploadEstimate upload_;
  TimePoint answer_deadline_;  // of the last look
  std::optional<TimePoint> last_byte_at_;
  // The end of the last attempt to read, or its start if the thread was held up in it.
  TimePoint last_read_at_ = TimePoint::clock::now();
  bool is_partly_consumed_ = false;
  TimePoint sent_at_;
};

}  // namespace troutstage::net
