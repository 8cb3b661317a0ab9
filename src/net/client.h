// One accepted connection of a client: reads its requests one after another, has the balancer decide on their
// hand-offs, runs these and writes the answers.
#pragma once

#include <optional>

#include "core/reader_progress.h"
#include "net/closing.h"
#include "net/exchange.h"
#include "net/http.h"
#include "net/node.h"

namespace troutstage::net {

// Used by one thread at a time: by the thread that serves a request or, while no thread serves the
// connection, by IdleConnections under its lock. The static functions for hand-offs also run on other
// threads; they use only the node and the InvocationContext.
// If hand-offs can't be cancelled, a streamed body is read on the thread of the hand-off.
class ClientConnection {
 public:
  ClientConnection(Node& node, Fd fd, bool is_within_budget, const core::ArrivalEstimate& arrival);
  ~ClientConnection();
  int fd() const { return fd_.get(); }
  // Estimates when the next request arrived. IdleConnections reports its checks of the socket here while no
  // thread serves the connection.
  core::ArrivalEstimate& arrival() { return arrival_; }
  // Reads and answers the request that has arrived, and further requests that the client sends right after a
  // rejection. Blocks until the answer is written. Returns what the connection waits for then, or nothing if
  // the connection is over and only has to be destroyed.
  std::optional<IdleConnections::WaitsFor> serve();
  // Answers 503 without reading the request, for a request that no thread is available to serve. Does not
  // block.
  void reject_unread();
  // Discards a part of what the client sent after its last answer. False: the client closed, or sent too
  // much; the connection is over.
  bool discard_unread();
  // The head of a request has arrived in part: when it began, and by when it has to be complete.
  TimePoint head_begun_at() const { return head_begun_at_; }
  TimePoint head_deadline() const;
  // Reads what has arrived of the head, without blocking. True: a thread can serve the connection.
  bool read_partial_head() { return reader_.read_partial_head(); }
  // Answers a request whose head did not arrive in time (`reason` idle), or is not waited for any longer.
  // Does not block.
  void refuse_partial_head(CloseReason reason);
  // The request was refused before it had arrived whole.
  bool is_refused_unfinished() const { return is_refused_unfinished_; }
  // The connection counts against the budget of client connections. False: its next request is rejected with
  // 503.
  bool is_within_budget() const { return is_within_budget_; }
  void leave_budget() { is_within_budget_ = false; }
  void enter_budget();
  // The reason that is counted and logged if the connection is destroyed before it serves another request.
  void set_close_reason(CloseReason reason) { close_reason_ = reason; }

 private:
  // State of one invocation that all its hand-offs share. Lives until the last hand-off has ended, which may
  // be after the connection was destroyed.
  struct InvocationContext;

  std::optional<IdleConnections::WaitsFor> serve_request();
  std::optional<Request> read_head(BadRequest& refusal, bool& is_partial);
  std::optional<IdleConnections::WaitsFor> refuse(const BadRequest& refusal);
  static BadRequest attribute_cut(const Node::ActiveRead& active_read, const BadRequest& refusal);
  bool is_node_path(const Request& request);
  bool resolve_workload(InvocationContext& context, BadRequest& refusal);
  bool answer(const std::shared_ptr<InvocationContext>& context, TenthsOfMs arrived);
  bool reject(const InvocationContext& context, TenthsOfMs retry_in, bool keep_open);
  bool is_refused_for_memory(const InvocationContext& context, Exchange& exchange) const;
  bool send_kept_answer(Exchange& exchange, bool keep_open);
  bool forward_answer(const InvocationContext& context, Exchange& exchange, Index backend, bool keep_open);
  void report_forwarded(const InvocationContext& context, const Exchange& exchange, Index backend,
                        bool is_complete);
  ReadResult next_answer_piece(const InvocationContext& context, Exchange& exchange, std::string& piece);
  void set_reset_on_close(bool is_enabled);
  // When the last byte of a request arrived.
  struct LastByte {
    TimePoint arrived_at;
    // `arrived_at` is based on the time that the system reported; otherwise on the checks of the socket
    // alone.
    bool is_by_system_time = false;
    // How long before this call the last bytes arrived, as the system reports, whether or not `arrived_at`
    // uses it.
    std::optional<std::chrono::milliseconds> reported_ago;
  };
  LastByte last_byte() const;
  void note_times(InvocationContext& context);
  void note_contradiction(const InvocationContext& context);
  void note_disconnect(const InvocationContext& context) const;
  void note_late_reading(const InvocationContext& context);
  static void note_cut_answer(const InvocationContext& context, std::string_view why, TimePoint started_at,
                              TimePoint last_piece_at, std::size_t forwarded_bytes);
  static void trace_forwarding(const InvocationContext& context, std::string_view stage,
                               std::string_view detail, std::size_t forwarded_bytes);
  bool invoke(const std::shared_ptr<InvocationContext>& context, TenthsOfMs arrived);
  bool send_final_answer(const InvocationContext& context, const core::Instruction& instruction,
                         bool keep_open);
  bool end_invocation(InvocationContext& context, const core::Instruction& instruction,
                      bool client_keeps_alive);
  static void note_end_of_body(InvocationContext& context);
  void trace_answer(const InvocationContext& context, std::string_view outcome) const;
  static void cancel(const InvocationContext& context, int number);
  static void note_unsent_body(Node& node, const InvocationContext& context, int number,
                               ExchangeResult result);
  static void finish_hand_off(Node& node, const InvocationContext& context, int number, ExchangeResult result,
                              bool is_partial = false);
  static void trace_hand_off(const InvocationContext& context, int number, const Target& target,
                             TimePoint started_at, const Exchange& exchange, ExchangeResult result);
  static void trace_streamed_body(const InvocationContext& context, int number, TimePoint started_at);
  static void note_dropped_answer(Node& node, const InvocationContext& context, int number,
                                  const Target& target, const Exchange& exchange, ExchangeResult result);
  static bool is_still_wanted(Node& node, const InvocationContext& context);
  static std::function<void()> prepare_hand_off(Node& node, const std::shared_ptr<InvocationContext>& context,
                                                const core::Instruction& instruction);
  void hand_off(const std::shared_ptr<InvocationContext>& context, const core::Instruction& instruction);
  void observe_reading(std::uint64_t accepted_bytes);
  bool write(std::string head, std::string_view body);
  void note_empty_after_write(TimePoint write_started_at);
  bool reply(int status, std::string_view text, bool keep_alive, std::string_view headers = "");

  Node& node_;
  // Identifies the connection in the log.
  const std::uint64_t id_;
  Fd fd_;
  // For the log; -1 if it was not wanted when the connection was accepted.
  const int peer_port_;
  core::ArrivalEstimate arrival_;
  Reader reader_;
  const TimePoint connected_ = TimePoint::clock::now();
  // No request has been read on this connection yet.
  bool is_first_request_ = true;
  // When the reading of the present request began, if has_partial_head_.
  TimePoint head_begun_at_;
  bool has_partial_head_ = false, is_refused_unfinished_ = false;
  // Answers after which the connection stayed open.
  std::size_t answered_count_ = 0;
  // The last request was rejected by the balancer.
  bool was_rejected_ = false;
  // False: the connection closes after the answer to the present request.
  bool may_keep_alive_ = true;
  // An end of input can only come from the client: this node did not shut down the reading side itself.
  bool can_detect_disconnect_ = true;
  // The last answer was cut short and has no length and no chunks: close() has to send a reset, since an
  // orderly close would look like the end of the answer.
  bool is_reset_on_close_ = false;
  CloseReason close_reason_ = CloseReason::by_client;
  bool is_within_budget_;
  std::size_t discarded_bytes_ = 0;
  // Bytes of answers that were written before the present write.
  std::uint64_t written_bytes_ = 0;
  core::ReaderProgress reading_;
};

}  // namespace troutstage::net
