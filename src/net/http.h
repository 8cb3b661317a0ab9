// HTTP/1.1 messages: a strict parser that reads only what the node needs, and the formatting of heads and
// bodies. A reader and its messages belong to one thread.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/memory_budget.h"
#include "net/node_limits.h"
#include "net/protocol.h"
#include "net/socket.h"

namespace troutstage::net {

// A header line, as views of the bytes that it was read from.
struct Header {
  std::string_view name, value;
  std::string_view line;  // unchanged, with its line end
};

enum class MessageKind { request, response };

// The head of a message, as views of the bytes that it was read from. Header names are compared without
// regard to case.
struct Head {
  std::string_view first[3];  // the start line, split at its first two spaces
  // The header lines, without the blank line at their end. Kept unparsed: a head of short fields would need
  // many times its size as parsed headers.
  std::string_view lines;

  // Calls `visit` with each header, in order.
  template <class Visit>
  void for_each_header(Visit visit) const {
    Header header;
    for (std::string_view rest = lines; next_header(rest, header);) visit(header);
  }
  // Adds a header that this node reads; called once for each, in order.
  void add_known(const Header& header);
  // How many headers have this name.
  std::size_t count(std::string_view name) const;
  std::string_view value(std::string_view name) const;  // of the first header with this name; empty: none
  bool has_list_token(std::string_view name, std::string_view token) const;  // in a comma-separated list

 private:
  // Takes the first header from `rest`, which holds valid header lines. False: there is none.
  static bool next_header(std::string_view& rest, Header& header);
  template <class Visit>
  void for_each_named(std::string_view name, Visit visit) const;

  // Headers that this node reads, so that a lookup need not pass over thousands of others.
  static constexpr std::size_t kMaxKnown = 16;
  std::array<Header, kMaxKnown> known_;
  std::size_t known_count_ = 0;
  bool has_more_known_ = false;
};
// Whether the bytes received so far can be the beginning of a head. The first `checked_size` bytes were
// checked by an earlier call.
bool is_head_prefix(std::string_view bytes, std::size_t checked_size, MessageKind kind);
std::string_view path_of(std::string_view target);  // without scheme, authority, query and fragment
bool equals_ignoring_case(std::string_view a, std::string_view b);  // ASCII letters only
// Parses a complete head, up to and including its blank line; empty: malformed.
std::optional<Head> parse_head(std::string_view bytes, MessageKind kind = MessageKind::request);
// 1 to 15 decimal digits; empty: anything else.
std::optional<std::int64_t> parse_digits(std::string_view text);
std::string_view trimmed(std::string_view text);  // without spaces and tabs at both ends

// How reading a message, or a part of one, ended.
enum class ReadResult {
  whole,      // read completely
  nothing,    // the connection was closed before the first byte
  cut,        // the connection was closed or broke in the middle
  late,       // the deadline passed
  malformed,  // not valid HTTP
  too_large,  // exceeds a size limit
  stalled,    // began, then paused for longer than the stall limit
  no_memory   // the budget has no memory left for it
};
// Texts of the enumerators, in the same order, for the log.
inline constexpr std::array<std::string_view, 8> kReadResultNames = {
    "whole", "nothing", "cut", "late", "malformed", "too_large", "stalled", "no_memory"};

// Reads messages from one connection, which must stay open for the reader's lifetime. Bytes behind a message
// stay in the buffer for the next message. Deadlines are absolute times; past them calls return `late`.
class Reader {
 public:
  // `stall`: the longest pause within a message; 0: only the deadline counts.
  explicit Reader(int fd, std::chrono::milliseconds stall = {}) : fd_(fd), stall_limit_(stall) {}
  // Records each check of the connection in `arrival`.
  Reader(int fd, core::ArrivalEstimate& arrival) : fd_(fd), stall_limit_(0), arrival_(&arrival) {}
  bool has_buffered_bytes() const { return buffered_bytes() > 0; }                // behind the last message
  std::size_t buffered_bytes() const { return buffer_.size() - returned_size_; }  // behind the last message
  // For a long message, in which a pause does not mean that the rest never arrives.
  void disable_stall_limit() { stall_limit_ = {}; }
  std::uint64_t read_bytes() const { return read_bytes_; }  // from the connection, since the constructor
  // Forgets what was read and frees its memory, for a connection that becomes idle.
  void release_buffer();
  // Frees the memory of a head that is not needed any more. What lies behind it stays.
  void release_head();
  // Reads what has arrived of a head, without waiting. True: there is something for read_head() to return,
  // such as a whole head or the end of the connection; false: the head is still incomplete.
  bool read_partial_head();
  // Reserves the memory of a head that has arrived in part, before the connection waits without a thread.
  // False: the budget has none left.
  bool reserve_waiting_head() { return reserve(2 * kShortHeadBytes); }
  // A head over kShortHeadBytes reserves its memory here.
  void set_memory(MemoryBudget& budget) { memory_.emplace(budget, MemoryUse::arriving_heads); }
  bool write_bytes(std::string_view bytes, TimePoint deadline) {
    return write_all(fd_, bytes, deadline) == IoResult::done;
  }
  // Reads a whole head. The views are valid until the next call.
  ReadResult read_head(TimePoint deadline, Head& head, MessageKind kind);
  // Appends 1 to `max_size` bytes, at most kMaxPieceBytes, as many as have arrived; waits for the first one.
  ReadResult read_up_to(TimePoint deadline, std::size_t max_size, std::string& into);
  // Reads a line up to CRLF and removes the line end.
  ReadResult read_line(TimePoint deadline, std::string& line);

 private:
  // Reads until the buffer holds `needed_size` bytes.
  ReadResult fill_until(TimePoint deadline, std::size_t needed_size, bool has_begun = true);
  // Reads once into the buffer; the stall limit applies if the message has begun.
  ReadResult fill_once(TimePoint deadline, bool has_begun);
  // Removes what was returned before. Called ahead of a read from the connection, not for each piece: a body
  // may come in chunks of one byte.
  void discard_returned() { buffer_.erase(0, std::exchange(returned_size_, 0)); }
  bool reserve(std::size_t size);
  // Makes room for what the next read appends to an incomplete head. False: the budget has no memory left.
  bool prepare_for_more_head();
  int fd_;
  std::chrono::milliseconds stall_limit_;
  core::ArrivalEstimate* arrival_ = nullptr;
  std::uint64_t read_bytes_ = 0;
  std::string buffer_;
  std::size_t returned_size_ = 0;  // bytes at the front of the buffer that were returned before
  std::size_t checked_size_ = 0;   // bytes of an incomplete head that were checked
  std::optional<MemoryBudget::Reservation> memory_;
};

// How the end of a body is found; to_end: the sender closes the connection.
enum class Framing { none, length, chunked, to_end };
inline constexpr std::array<std::string_view, 4> kFramingNames = {"none", "length", "chunked", "to_end"};

// The state of reading one message body in pieces, for each framing.
class Body {
 public:
  Body() = default;
  // `length`: with Framing::length, the size in bytes. `max_size`: a larger body is too_large.
  Body(Framing framing, std::size_t length, std::size_t max_size)
      : framing_(framing), remaining_(length), max_size_(max_size),
        is_whole_(framing == Framing::none || (framing == Framing::length && length == 0)) {}
  Framing framing() const { return framing_; }
  // Unread bytes of the body (Framing::length) or of the current chunk.
  std::size_t left() const { return remaining_; }
  bool whole() const { return is_whole_; }
  // Appends the next piece to `into`; appends nothing at the end of the body. Returns `whole` for each piece;
  // whole() states whether the body is complete. May be called again after `late`.
  ReadResult next(Reader& reader, TimePoint deadline, std::string& into) {
    return next_up_to(kMaxPieceBytes, reader, deadline, into);
  }
  // The same, with what follows of the body in the reader's buffer: chunks may be as small as a byte.
  ReadResult next_buffered(Reader& reader, TimePoint deadline, std::string& into);

 private:
  // At most `max_bytes` of the body.
  ReadResult next_up_to(std::size_t max_bytes, Reader& reader, TimePoint deadline, std::string& into);
  // What is read next once the current chunk is consumed.
  enum class ChunkState { size, end_of_data, trailers };
  ReadResult next_chunk(Reader& reader, TimePoint deadline);
  ReadResult read_chunk_size(Reader& reader, TimePoint deadline);
  ReadResult read_trailers(Reader& reader, TimePoint deadline);
  Framing framing_ = Framing::none;
  std::size_t remaining_ = 0, max_size_ = 0, consumed_ = 0;
  std::size_t trailer_count_ = 0;
  ChunkState chunk_state_ = ChunkState::size;
  bool is_whole_ = true;
};

// A request, as read from the client.
struct Request {
  std::string method, target;
  std::string forwarded_headers;  // header lines that are forwarded unchanged
  std::string body;               // the part that is buffered
  std::string workload;           // the first segment of the path
  std::string tenant, transaction;
  std::int64_t remaining_ms = -1;  // time until the client's deadline; -1: not given
  double hint_micros = 0;          // the client's estimate of the processing time; 0: none
  bool has_idempotency_key = false, is_client_retry = false, keep_alive = true;
  bool expects_continue = false, is_http_1_0 = false;  // waits for 100 Continue; speaks HTTP/1.0
  Body remaining_body;                                 // the part of the body that was not read yet
};
// What is wrong with a request. The names are those of the counters and the log, and are sent to the client.
enum class RequestError {
  none,          // the connection was closed before a request
  cut,           // the connection was closed within the request
  slow,          // not complete in time
  malformed,     // not valid HTTP
  too_large,     // head or body exceeds its limit
  two_lengths,   // several Content-Length headers, or one beside Transfer-Encoding
  no_length,     // a POST without length and chunks
  wrong_field,   // a header with an invalid value, or repeated
  wrong_method,  // does not fit the semantics of the workload, or neither GET nor POST
  no_workload,   // the path names no known workload
  body_of_get,   // a GET with a body too long to buffer
  no_limit,      // no X-Remaining-Ms
  no_label,      // no Idempotency-Key, though the workload needs it
  id_open,       // the transaction id is in use by an open request
  id_repeated,   // a request with this transaction id may have run
  ahead,         // bytes follow the request before it is answered
  no_room,       // this node has no capacity for it
  reading_ended  // this node stopped reading before the request was complete
};
// Texts of the enumerators, in the same order.
inline constexpr std::array<std::string_view, 18> kRequestErrorNames = {
    "none",      "cut",         "slow",         "malformed",   "too_large",   "two_lengths",
    "no_length", "wrong_field", "wrong_method", "no_workload", "body_of_get", "no_limit",
    "no_label",  "id_open",     "id_repeated",  "ahead",       "no_room",     "reading_ended"};
// A request that can't be served, and how it is answered.
struct BadRequest {
  int status = 0;  // of the response; 0: none is sent, the connection is gone
  RequestError cause = RequestError::none;
};
// Reads the head of a request; empty: `refusal` states why not. A head that other programs may interpret in
// another way is refused.
std::optional<Request> read_request_head(Reader& reader, TimePoint deadline, BadRequest& refusal);
// Reads the body of the request into `request.body` until it is whole, kMaxBufferedRequestBytes are buffered,
// or `take_capacity` grants no more bytes; the rest has to be streamed then. `deadline` is called before each
// read. False: `refusal` states why the body can't be read.
bool read_body(Reader& reader, Request& request, BadRequest& refusal,
               const std::function<TimePoint()>& deadline,
               const std::function<bool(std::size_t)>& take_capacity);
// Gives `bytes` room for `capacity` bytes, and not for more, as growing it would.
void grow_to(std::string& bytes, std::size_t capacity);
// The head of the request for the backend. The body has to follow: request.body, and the pieces of a streamed
// body, in chunks as framed by frame_body_piece() if the request has them.
// `remaining_ms` is written into the head.
std::string format_request_head(const Request& request, std::int64_t remaining_ms);
// A piece of a body, as a chunk if `remaining_body` is chunked, with the last chunk if that body was read
// whole.
std::string frame_body_piece(const Body& remaining_body, std::string_view piece);

// A response. turned_away: the backend states that it did not process the request.
struct Response {
  int status = 0;
  bool turned_away = false, keep_alive = true;
  std::string content_type, body;
};
// Reads the head of a response, skipping 1xx heads, and prepares `body` for reading. `max_size` limits the
// body.
ReadResult read_response_head(Reader& reader, TimePoint deadline, Response& response, Body& body,
                              std::size_t max_size);
// Reads a whole response.
ReadResult read_response(Reader& reader, TimePoint deadline, Response& response,
                         std::size_t max_size = kMaxShortAnswerBytes);
// `more_headers`: complete lines with their line ends.
std::string format_response_head(int status, std::string_view content_type, std::size_t size, bool keep_alive,
                                 std::string_view more_headers = "");
// The head of a response with status 200 whose length is not known; not chunked: the body ends with the
// connection.
std::string format_streamed_head(std::string_view content_type, bool chunked, bool keep_alive);

}  // namespace troutstage::net
