#include "net/http.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "net/protocol.h"

namespace troutstage::net {
namespace {

constexpr std::string_view kLineEnd = "\r\n", kBlankLine = "\r\n\r\n";
constexpr std::size_t kMaxTrailers = 64;

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }
bool is_token(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') || kMarks.find(c) != kMarks.npos;
  });
}
bool is_text(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char c) { return (static_cast<unsigned char>(c) < 32 && c != '\t') || c == 127; });
}

// Header names, compared without regard to case. A name of another length than theirs is told apart at once.
template <std::size_t kCount>
class HeaderNames {
 public:
  constexpr explicit HeaderNames(const std::array<std::string_view, kCount>& names) : names_(names) {
    for (const std::string_view name : names) lengths_ |= std::uint64_t{1} << name.size();
  }
  bool contains(std::string_view name) const {
    if (name.size() >= kMaxLength || (lengths_ >> name.size() & 1) == 0) return false;
    return std::any_of(names_.begin(), names_.end(),
                       [&](auto one) { return equals_ignoring_case(name, one); });
  }

 private:
  static constexpr std::size_t kMaxLength = 64;
  std::array<std::string_view, kCount> names_;
  std::uint64_t lengths_ = 0;  // a bit for each length that a name has
};

// Headers that concern the connection only, or that the node writes itself: they are not forwarded.
constexpr HeaderNames kNotForwarded(std::array<std::string_view, 9>{
    "Connection", "Keep-Alive", "Proxy-Connection", "Upgrade", "TE", "Trailer", "Expect", kRemainingMsHeader,
    "Transfer-Encoding"});
// Headers that the node looks up.
constexpr HeaderNames kRead(std::array<std::string_view, 13>{
    kTransactionHeader, kTenantHeader, kRemainingMsHeader, kIdempotencyKeyHeader, kResentHeader, kHostHeader,
    kEstimateHeader, kTurnedAwayHeader, "Connection", "Content-Length", "Content-Type", "Expect",
    "Transfer-Encoding"});

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 409: return "Conflict";
    case 411: return "Length Required";
    case 413: return "Content Too Large";
    case 431: return "Request Header Fields Too Large";
    case 500: return "Internal Server Error";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    default: return "Unknown";
  }
}

// An unreadable load report must not invalidate the response that contains it. Requests carry none: theirs
// would be forwarded as it came.
bool is_load_report(std::string_view header_name, MessageKind kind) {
  return kind == MessageKind::response && equals_ignoring_case(header_name, kPressureHeader);
}

// Whether the byte at `position`, which is part of no line end, lies in the line of a load report.
bool is_in_load_report(std::string_view bytes, std::size_t position, MessageKind kind) {
  const std::size_t line_end = bytes.rfind(kLineEnd, position);
  if (line_end == std::string_view::npos) return false;
  const std::size_t line_start = line_end + kLineEnd.size();
  const std::string_view line = bytes.substr(line_start, position - line_start);
  const std::size_t colon_at = line.find(':');
  return colon_at != std::string_view::npos && is_load_report(line.substr(0, colon_at), kind);
}

// Reads the headers that the balancer needs; false: one is repeated, invalid or missing.
bool parse_fields(const Head& head, Request& request) {
  for (std::string_view name : {kRemainingMsHeader, kTenantHeader, kTransactionHeader, kIdempotencyKeyHeader,
                                kEstimateHeader, kResentHeader, kHostHeader})
    if (head.count(name) > 1) return false;
  request.tenant = head.value(kTenantHeader);
  request.transaction = head.value(kTransactionHeader);
  if (request.transaction.empty()) return false;
  if (head.count(kRemainingMsHeader) > 0) {
    const auto remaining = parse_digits(head.value(kRemainingMsHeader));
    constexpr std::int64_t kMaxRemainingMs = 24 * 3600 * 1000;
    if (!remaining || *remaining > kMaxRemainingMs) return false;
    request.remaining_ms = *remaining;
  }
  if (const std::string_view hint = head.value(kEstimateHeader); !hint.empty()) {
    const auto [end, error] = std::from_chars(hint.data(), hint.data() + hint.size(), request.hint_micros);
    if (error != std::errc() || end != hint.data() + hint.size() ||
        !(request.hint_micros >= 0 && request.hint_micros < 1e12))
      return false;
  }
  request.has_idempotency_key = !head.value(kIdempotencyKeyHeader).empty();
  request.is_client_retry = head.value(kResentHeader) == "1";
  return true;
}

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view path_of(std::string_view target) {
  if (const std::size_t scheme = target.find("://"); scheme != target.npos && scheme < target.find('/')) {
    target.remove_prefix(scheme + 3);
    target.remove_prefix(std::min(target.size(), target.find('/')));
  }
  return target.substr(0, target.find_first_of("?#"));
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::optional<std::int64_t> parse_digits(std::string_view text) {
  std::int64_t value = 0;
  if (text.empty() || text.size() > 15) return std::nullopt;
  for (char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    value = value * 10 + (c - '0');
  }
  return value;
}

bool Head::next_header(std::string_view& rest, Header& header) {
  while (!rest.empty()) {
    const std::string_view line = rest.substr(0, rest.find(kLineEnd));
    const std::string_view with_end = rest.substr(0, line.size() + kLineEnd.size());
    rest.remove_prefix(with_end.size());
    // Folded lines occur in responses only. This node reads no header that is folded.
    if (line[0] == ' ' || line[0] == '\t') continue;
    const std::size_t colon_at = line.find(':');
    header = {line.substr(0, colon_at), trimmed(line.substr(colon_at + 1)), with_end};
    return true;
  }
  return false;
}

void Head::add_known(const Header& header) {
  has_more_known_ = known_count_ == kMaxKnown;
  if (!has_more_known_) known_[known_count_++] = header;
}

template <class Visit>
void Head::for_each_named(std::string_view name, Visit visit) const {
  const auto visit_named = [&](const Header& header) {
    if (equals_ignoring_case(header.name, name)) visit(header);
  };
  if (has_more_known_ || !kRead.contains(name)) return for_each_header(visit_named);
  std::for_each(known_.begin(), known_.begin() + known_count_, visit_named);
}

std::size_t Head::count(std::string_view name) const {
  std::size_t found = 0;
  for_each_named(name, [&](const Header&) { ++found; });
  return found;
}
std::string_view Head::value(std::string_view name) const {
  std::optional<std::string_view> found;
  for_each_named(name, [&](const Header& header) {
    if (!found) found = header.value;
  });
  return found.value_or(std::string_view());
}
bool Head::has_list_token(std::string_view name, std::string_view token) const {
  bool is_found = false;
  for_each_named(name, [&](const Header& header) {
    for (std::string_view values = header.value; !values.empty();) {
      const std::string_view element = values.substr(0, values.find(','));
      values.remove_prefix(std::min(values.size(), element.size() + 1));
      is_found = is_found || equals_ignoring_case(trimmed(element), token);
    }
  });
  return is_found;
}

std::optional<Head> parse_head(std::string_view bytes, MessageKind kind) {
  Head head;
  std::size_t line_end = bytes.find(kLineEnd);
  if (line_end == std::string_view::npos) return std::nullopt;
  std::string_view start_line = bytes.substr(0, line_end);
  if (!is_text(start_line)) return std::nullopt;
  for (int i = 0; i < 3; ++i) {
    const std::size_t space_at = i < 2 ? start_line.find(' ') : std::string_view::npos;
    head.first[i] = start_line.substr(0, space_at);
    start_line.remove_prefix(space_at == std::string_view::npos ? start_line.size() : space_at + 1);
  }
  const std::size_t first_line = line_end + kLineEnd.size();
  for (std::size_t line_start = first_line;;) {
    line_end = bytes.find(kLineEnd, line_start);
    if (line_end == std::string_view::npos) return std::nullopt;
    if (line_end == line_start) {
      head.lines = bytes.substr(first_line, line_start - first_line);
      return head;
    }
    const std::string_view line = bytes.substr(line_start, line_end - line_start);
    // In a response, folded lines are skipped: this node reads no header that is folded.
    if (kind == MessageKind::response && line_start > first_line && (line[0] == ' ' || line[0] == '\t')) {
      line_start = line_end + 2;
      continue;
    }
    const std::size_t colon_at = line.find(':');
    // Folded lines, spaces before the colon and bare line ends are interpreted differently by different
    // programs, which allows request smuggling.
    const std::string_view name = line.substr(0, colon_at);
    if (colon_at == std::string_view::npos || !is_token(name) ||
        (!is_text(line.substr(colon_at)) && !is_load_report(name, kind)))
      return std::nullopt;
    if (kRead.contains(name))
      head.add_known({name, trimmed(line.substr(colon_at + 1)),
                      bytes.substr(line_start, line.size() + kLineEnd.size())});
    line_start = line_end + 2;
  }
}

// Garbage often contains no blank line: when only complete heads were checked, garbage was detected only at
// the deadline.
bool is_head_prefix(std::string_view bytes, std::size_t checked_size, MessageKind kind) {
  constexpr std::string_view kResponse = "HTTP/1.";
  constexpr std::size_t kMaxMethodSize = 16;
  if (kind == MessageKind::response && !bytes.starts_with(kResponse.substr(0, bytes.size()))) return false;
  const std::string_view method = bytes.substr(0, bytes.find(' '));
  if (kind == MessageKind::request && (method.size() > kMaxMethodSize || !is_token(method))) return false;
  for (std::size_t i = checked_size; i < bytes.size(); ++i) {
    const bool is_bare_line_feed = bytes[i] == '\n' && (i == 0 || bytes[i - 1] != '\r');
    const bool is_bare_return = bytes[i] == '\r' && i + 1 < bytes.size() && bytes[i + 1] != '\n';
    if (!is_bare_line_feed && !is_bare_return) continue;
    if (!is_in_load_report(bytes, i, kind)) return false;
    // The rest of the report may hold anything as well.
    i = bytes.find(kLineEnd, i + 1);
    if (i == std::string_view::npos) return true;
  }
  return true;
}

void Reader::release_buffer() {
  buffer_ = {};
  returned_size_ = 0;
  if (memory_) memory_->give_back_all();
}

void Reader::release_head() {
  if (buffer_.capacity() <= kShortHeadBytes) return;
  std::string rest = buffer_.substr(std::exchange(returned_size_, 0));
  buffer_.swap(rest);
  if (memory_ && buffer_.size() <= kShortHeadBytes) memory_->give_back_all();
}

bool Reader::reserve(std::size_t size) {
  return !memory_ || memory_->size() >= size || memory_->take(size - memory_->size());
}

// If the length of an answer is wrong, its rest never arrives and the connection stays open: the stall limit
// detects this.
ReadResult Reader::fill_once(TimePoint deadline, bool has_begun) {
  const TimePoint read_by = has_begun && stall_limit_.count() > 0
                                ? std::min(deadline, TimePoint::clock::now() + stall_limit_)
                                : deadline;
  const std::size_t size_before = buffer_.size();
  const IoResult io = read_some(fd_, buffer_, read_by, arrival_);
  read_bytes_ += buffer_.size() - size_before;
  switch (io) {
    case IoResult::done: return ReadResult::whole;
    case IoResult::late: return read_by < deadline ? ReadResult::stalled : ReadResult::late;
    case IoResult::ended: return ReadResult::nothing;
    case IoResult::broken:
    case IoResult::resource_shortage: break;
  }
  return ReadResult::cut;
}

ReadResult Reader::fill_until(TimePoint deadline, std::size_t needed_size, bool has_begun) {
  while (buffer_.size() < needed_size)
    if (const ReadResult result = fill_once(deadline, has_begun || !buffer_.empty());
        result != ReadResult::whole)
      return result != ReadResult::nothing && result != ReadResult::cut ? result
             : buffer_.empty()                                          ? ReadResult::nothing
                                                                        : ReadResult::cut;
  return ReadResult::whole;
}

bool Reader::prepare_for_more_head() {
  if (buffer_.size() < kShortHeadBytes) return true;
  constexpr std::size_t kLongHeadBytes = kMaxHeadBytes + kMaxPieceBytes;
  if (!reserve(kLongHeadBytes)) return false;
  grow_to(buffer_, kLongHeadBytes);
  return true;
}

bool Reader::read_partial_head() {
  discard_returned();
  for (;;) {
    const std::size_t checked_size =
        std::exchange(checked_size_, buffer_.size() < 3 ? 0 : buffer_.size() - 3);
    if (buffer_.find(kBlankLine, checked_size) != std::string::npos || buffer_.size() > kMaxHeadBytes ||
        (!buffer_.empty() && !is_head_prefix(buffer_, checked_size, MessageKind::request)) ||
        !prepare_for_more_head())
      return true;
    const ReadResult result = fill_once(TimePoint::clock::now(), false);
    if (result != ReadResult::whole) return result != ReadResult::late;
  }
}

ReadResult Reader::read_head(TimePoint deadline, Head& head, MessageKind kind) {
  discard_returned();
  std::size_t checked_size = 0;
  checked_size_ = 0;
  for (;;) {
    const std::size_t head_end = buffer_.find(kBlankLine, checked_size);
    if (head_end != std::string::npos) {
      returned_size_ = head_end + kBlankLine.size();
      auto parsed = parse_head(std::string_view(buffer_).substr(0, returned_size_), kind);
      if (!parsed) return ReadResult::malformed;
      head = std::move(*parsed);
      return ReadResult::whole;
    }
    if (!buffer_.empty() && !is_head_prefix(buffer_, checked_size, kind)) return ReadResult::malformed;
    if (buffer_.size() > kMaxHeadBytes) return ReadResult::too_large;
    if (!prepare_for_more_head()) return ReadResult::no_memory;
    checked_size = buffer_.size() < 3 ? 0 : buffer_.size() - 3;
    if (const ReadResult result = fill_until(deadline, buffer_.size() + 1, false);
        result != ReadResult::whole)
      return result;
  }
}

ReadResult Reader::read_up_to(TimePoint deadline, std::size_t max_size, std::string& into) {
  if (!has_buffered_bytes()) {
    discard_returned();
    if (const ReadResult result = fill_once(deadline, true); result != ReadResult::whole) return result;
  }
  const std::size_t size = std::min({max_size, buffered_bytes(), kMaxPieceBytes});
  into.append(buffer_, returned_size_, size);
  returned_size_ += size;
  return ReadResult::whole;
}

ReadResult Reader::read_line(TimePoint deadline, std::string& line) {
  for (;;) {
    // A bare LF that another program takes for a line end may hide a request.
    const std::size_t line_end = buffer_.find('\n', returned_size_);
    if (line_end != std::string::npos) {
      if (line_end == returned_size_ || buffer_[line_end - 1] != '\r') return ReadResult::malformed;
      line = buffer_.substr(returned_size_, line_end - 1 - returned_size_);
      returned_size_ = line_end + 1;
      return is_text(line) ? ReadResult::whole : ReadResult::malformed;
    }
    if (buffered_bytes() > kMaxHeadBytes) return ReadResult::malformed;
    discard_returned();
    if (const ReadResult result = fill_until(deadline, buffer_.size() + 1); result != ReadResult::whole)
      return result == ReadResult::nothing ? ReadResult::cut : result;
  }
}

// Reads what stands between the bytes of two chunks: the line end of the first chunk and the size of the
// second one; after the last chunk the trailers.
ReadResult Body::next_chunk(Reader& reader, TimePoint deadline) {
  if (chunk_state_ == ChunkState::end_of_data) {
    std::string line;
    if (const ReadResult result = reader.read_line(deadline, line); result != ReadResult::whole)
      return result;
    if (!line.empty()) return ReadResult::malformed;
    chunk_state_ = ChunkState::size;
  }
  if (chunk_state_ == ChunkState::size)
    if (const ReadResult result = read_chunk_size(reader, deadline); result != ReadResult::whole)
      return result;
  return chunk_state_ == ChunkState::trailers ? read_trailers(reader, deadline) : ReadResult::whole;
}

ReadResult Body::read_chunk_size(Reader& reader, TimePoint deadline) {
  std::string line;
  if (const ReadResult result = reader.read_line(deadline, line); result != ReadResult::whole) return result;
  const std::string_view digits = trimmed(std::string_view(line).substr(0, line.find(';')));
  std::size_t size = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
  if (error != std::errc() || end != digits.data() + digits.size()) return ReadResult::malformed;
  if (size > max_size_ || consumed_ + size > max_size_) return ReadResult::too_large;
  remaining_ = size;
  chunk_state_ = size > 0 ? ChunkState::end_of_data : ChunkState::trailers;
  return ReadResult::whole;
}

ReadResult Body::read_trailers(Reader& reader, TimePoint deadline) {
  for (; trailer_count_ < kMaxTrailers; ++trailer_count_) {
    std::string line;
    if (const ReadResult result = reader.read_line(deadline, line); result != ReadResult::whole)
      return result;
    if (line.empty()) return is_whole_ = true, ReadResult::whole;
  }
  return ReadResult::malformed;
}

ReadResult Body::next_up_to(std::size_t max_bytes, Reader& reader, TimePoint deadline, std::string& into) {
  if (is_whole_) return ReadResult::whole;
  ReadResult result = ReadResult::whole;
  if (framing_ == Framing::chunked && remaining_ == 0) {
    result = next_chunk(reader, deadline);
    if (result == ReadResult::nothing) result = ReadResult::cut;
    if (result != ReadResult::whole || is_whole_) return result;
  }
  const std::size_t size_before = into.size();
  result = reader.read_up_to(
      deadline, std::min(max_bytes, framing_ == Framing::to_end ? max_size_ + 1 : remaining_), into);
  if (result == ReadResult::nothing && framing_ == Framing::to_end)
    return is_whole_ = true, ReadResult::whole;
  if (result != ReadResult::whole) return result == ReadResult::nothing ? ReadResult::cut : result;
  consumed_ += into.size() - size_before;
  if (framing_ == Framing::to_end) return consumed_ > max_size_ ? ReadResult::too_large : ReadResult::whole;
  remaining_ -= into.size() - size_before;
  is_whole_ = framing_ == Framing::length && remaining_ == 0;
  return ReadResult::whole;
}

ReadResult Body::next_buffered(Reader& reader, TimePoint deadline, std::string& into) {
  const std::size_t size_before = into.size();
  const ReadResult result = next(reader, deadline, into);
  if (result != ReadResult::whole) return result;
  while (!is_whole_ && reader.has_buffered_bytes() && into.size() - size_before < kMaxPieceBytes) {
    const std::size_t room = kMaxPieceBytes - (into.size() - size_before);
    const ReadResult more = next_up_to(room, reader, TimePoint(), into);
    if (more == ReadResult::late) break;  // the line between two chunks has come in part
    if (more != ReadResult::whole) return more;
  }
  return ReadResult::whole;
}

std::optional<Request> read_request_head(Reader& reader, TimePoint deadline, BadRequest& refusal) {
  const auto refuse = [&](int status, RequestError cause) {
    refusal = {status, cause};
    return std::nullopt;
  };
  Head head;
  switch (reader.read_head(deadline, head, MessageKind::request)) {
    case ReadResult::whole: break;
    case ReadResult::nothing: return refuse(0, RequestError::none);
    case ReadResult::cut: return refuse(0, RequestError::cut);
    case ReadResult::stalled:
    case ReadResult::late: return refuse(408, RequestError::slow);
    case ReadResult::malformed: return refuse(400, RequestError::malformed);
    case ReadResult::too_large: return refuse(431, RequestError::too_large);
    case ReadResult::no_memory: return refuse(503, RequestError::no_room);
  }
  Request request;
  request.method = head.first[0];
  request.target = head.first[1];
  const auto is_visible = [](char c) { return c > ' ' && c < 127; };
  if (!is_token(request.method) || (head.first[2] != "HTTP/1.1" && head.first[2] != "HTTP/1.0") ||
      !std::all_of(request.target.begin(), request.target.end(), is_visible))
    return refuse(400, RequestError::malformed);
  // A target in absolute form is forwarded without scheme and authority.
  if (const std::string_view path = path_of(request.target); !path.starts_with('/'))
    return refuse(400, RequestError::malformed);
  else request.target.erase(0, static_cast<std::size_t>(path.data() - request.target.data()));
  request.is_http_1_0 = head.first[2] == "HTTP/1.0";
  request.expects_continue = !request.is_http_1_0 && head.has_list_token("Expect", "100-continue");
  request.keep_alive = head.first[2] == "HTTP/1.1" && !head.has_list_token("Connection", "close");
  // Two lengths, or a length beside chunks, may be interpreted differently by a backend, which allows request
  // smuggling.
  const std::size_t lengths = head.count("Content-Length");
  if (lengths > 1 || (lengths > 0 && head.count("Transfer-Encoding") > 0))
    return refuse(400, RequestError::two_lengths);
  const bool chunked = head.count("Transfer-Encoding") > 0;
  if (chunked && (head.count("Transfer-Encoding") > 1 || request.is_http_1_0 ||
                  !equals_ignoring_case(head.value("Transfer-Encoding"), "chunked")))
    return refuse(400, RequestError::wrong_field);
  if (request.method != "GET" && request.method != "POST") return refuse(405, RequestError::wrong_method);
  if (lengths == 0 && !chunked && request.method == "POST") return refuse(411, RequestError::no_length);
  if (chunked) request.remaining_body = Body(Framing::chunked, 0, kMaxBodyBytes);
  if (lengths > 0) {
    const auto length = parse_digits(head.value("Content-Length"));
    if (!length) return refuse(400, RequestError::wrong_field);
    if (*length > static_cast<std::int64_t>(kMaxBodyBytes)) return refuse(413, RequestError::too_large);
    request.remaining_body = Body(Framing::length, static_cast<std::size_t>(*length), kMaxBodyBytes);
  }
  const bool is_node_path = request.target == kReadyPath || request.target == kCountersPath;
  if (!is_node_path) {
    if (!parse_fields(head, request)) return refuse(400, RequestError::wrong_field);
    const std::string_view path = std::string_view(request.target).substr(1);
    request.workload = path.substr(0, path.find_first_of("/?#"));
    grow_to(request.forwarded_headers, head.lines.size());
    head.for_each_header([&](const Header& header) {
      if (!kNotForwarded.contains(header.name)) request.forwarded_headers += header.line;
    });
  }
  return request;
}

bool read_body(Reader& reader, Request& request, BadRequest& refusal,
               const std::function<TimePoint()>& deadline,
               const std::function<bool(std::size_t)>& take_capacity) {
  const auto refuse = [&](int status, RequestError cause) { return refusal = {status, cause}, false; };
  if (request.remaining_body.whole()) return true;
  // What has not come yet may never come, so a long body's memory grows with what has arrived.
  const bool is_short =
      request.remaining_body.framing() == Framing::length && request.remaining_body.left() <= kShortBodyBytes;
  const std::size_t first_capacity = is_short ? request.remaining_body.left() : kShortBodyBytes;
  if (!take_capacity(first_capacity)) return refuse(503, RequestError::no_room);
  grow_to(request.body, first_capacity);
  // The client may wait for 100 Continue before it sends the body.
  if (request.expects_continue && !reader.has_buffered_bytes() &&
      !reader.write_bytes("HTTP/1.1 100 Continue\r\n\r\n", deadline()))
    return refuse(0, RequestError::cut);
  for (std::size_t reserved = first_capacity; !request.remaining_body.whole();) {
    switch (request.remaining_body.next(reader, deadline(), request.body)) {
      case ReadResult::whole: break;
      case ReadResult::stalled:
      case ReadResult::late: return refuse(408, RequestError::slow);
      case ReadResult::malformed: return refuse(400, RequestError::malformed);
      case ReadResult::too_large: return refuse(413, RequestError::too_large);
      default: return refuse(0, RequestError::cut);
    }
    if (is_short || request.remaining_body.whole()) continue;
    if (request.body.size() >= kMaxBufferedRequestBytes) return true;
    // Capacity is reserved ahead of the next piece.
    if (reserved < request.body.size() + kMaxPieceBytes) {
      const std::size_t more = std::min(reserved, kMaxBufferedRequestBytes + kMaxPieceBytes - reserved);
      if (!take_capacity(more)) return true;
      reserved += more;
      grow_to(request.body, reserved);
    }
  }
  return true;
}

void grow_to(std::string& bytes, std::size_t capacity) {
  if (capacity <= bytes.capacity()) return;
  std::string grown;
  grown.reserve(capacity);
  grown.append(bytes);
  bytes.swap(grown);
}

std::string format_request_head(const Request& request, std::int64_t remaining_ms) {
  // A chunked body that is buffered whole is forwarded with its length.
  const std::string framing = request.remaining_body.framing() != Framing::chunked ? ""
                              : request.remaining_body.whole()
                                  ? fmt::format("Content-Length: {}\r\n", request.body.size())
                                  : "Transfer-Encoding: chunked\r\n";
  return fmt::format("{} {} HTTP/1.1\r\n{}{}{}: {}\r\n\r\n", request.method, request.target,
                     request.forwarded_headers, framing, kRemainingMsHeader, remaining_ms);
}

std::string frame_body_piece(const Body& remaining_body, std::string_view piece) {
  if (remaining_body.framing() != Framing::chunked) return std::string(piece);
  std::string framed;
  if (!piece.empty()) framed = fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
  if (remaining_body.whole()) framed += "0\r\n\r\n";
  return framed;
}

ReadResult read_response_head(Reader& reader, TimePoint deadline, Response& response, Body& body,
                              std::size_t max_size) {
  Head head;
  for (int interim = 0;; ++interim) {
    const ReadResult result = reader.read_head(deadline, head, MessageKind::response);
    if (result != ReadResult::whole) return result;
    const auto status = parse_digits(head.first[1]);
    if (interim > kMaxInterimHeads || (head.first[0] != "HTTP/1.1" && head.first[0] != "HTTP/1.0") ||
        head.first[1].size() != 3 || !status || *status < 100)
      return ReadResult::malformed;
    response.status = static_cast<int>(*status);
    if (response.status == 101) return ReadResult::malformed;
    if (response.status >= 200) break;
  }
  response.turned_away =
      (response.status == 503 || response.status == 504) && head.value(kTurnedAwayHeader) == "1";
  response.keep_alive = head.first[0] == "HTTP/1.1" && !head.has_list_token("Connection", "close");
  response.content_type = head.value("Content-Type");
  body = Body();
  if (response.status == 204 || response.status == 304) return ReadResult::whole;
  const std::size_t lengths = head.count("Content-Length");
  if (head.count("Transfer-Encoding") > 0) {
    if (lengths > 0 || !head.has_list_token("Transfer-Encoding", "chunked")) return ReadResult::malformed;
    return body = Body(Framing::chunked, 0, max_size), ReadResult::whole;
  }
  if (lengths == 0) {
    response.keep_alive = false;
    return body = Body(Framing::to_end, 0, max_size), ReadResult::whole;
  }
  const auto length = parse_digits(head.value("Content-Length"));
  if (lengths > 1 || !length) return ReadResult::malformed;
  if (*length > static_cast<std::int64_t>(max_size)) return ReadResult::too_large;
  return body = Body(Framing::length, static_cast<std::size_t>(*length), max_size), ReadResult::whole;
}

ReadResult read_response(Reader& reader, TimePoint deadline, Response& response, std::size_t max_size) {
  Body body;
  if (const ReadResult result = read_response_head(reader, deadline, response, body, max_size);
      result != ReadResult::whole)
    return result;
  while (!body.whole())
    if (const ReadResult result = body.next(reader, deadline, response.body); result != ReadResult::whole)
      return result;
  return ReadResult::whole;
}

std::string format_response_head(int status, std::string_view content_type, std::size_t size, bool keep_alive,
                                 std::string_view more_headers) {
  return fmt::format("HTTP/1.1 {} {}\r\n{}{}{}{}{}Content-Length: {}\r\n\r\n", status, reason_phrase(status),
                     content_type.empty() ? "" : "Content-Type: ", content_type,
                     content_type.empty() ? "" : kLineEnd, more_headers,
                     keep_alive ? "" : "Connection: close\r\n", size);
}

std::string format_streamed_head(std::string_view content_type, bool chunked, bool keep_alive) {
  return fmt::format("HTTP/1.1 200 OK\r\n{}{}{}{}{}\r\n",
                     content_type.empty() ? "" : "Content-Type: ", content_type,
                     content_type.empty() ? "" : kLineEnd, keep_alive ? "" : "Connection: close\r\n",
                     chunked ? "Transfer-Encoding: chunked\r\n" : "");
}

}  // namespace troutstage::net
