// One node on sockets: its listener, its clients' connections and what they share.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <set>

#include "config/config.h"
#include "core/balancer.h"
#include "core/arrival_estimate.h"
#include "core/stage.h"
#include "core/stop_plan.h"
#include "net/counters.h"
#include "net/directory.h"
#include "net/file_reader.h"
#include "net/lobby.h"
#include "net/peers.h"
#include "net/pool.h"
#include "net/sibling.h"
#include "net/terms.h"
#include "net/threads.h"
#include "net/transactions.h"
#include "net/vigil.h"
#include "net/watch.h"

namespace troutstage::net {

// Steady time, begun far enough from zero that a backend's start can lie before it.
class SteadyClock : public core::Clock {
 public:
  SteadyClock();
  Tenths now() const override;
  Moment at(Tenths when) const override;
  Tenths of(Moment when) const;
  Tenths wall_offset() const { return wall_offset_; }  // from Unix time, as it was when the node started

 private:
  const Moment start_;
  Tenths wall_offset_;
};

using core::Stop;

class Node {
 public:
  explicit Node(Config config);  // listens from here on; throws where it can't
  ~Node();
  void start();
  void stop(const Stop& how);  // ends gracefully: all held is answered
  // Lets its clients go and takes no new ones, but runs on with all that it knows; and takes them again. False:
  // it is stopping.
  bool drain();
  bool activate();
  bool ready() const { return stage_.ready(); }
  Figures figures();
  std::optional<std::string> members() const;  // what is known of the other nodes; nothing where membership is off
  std::string counters_text() const;
  std::shared_ptr<const Settings> settings() const;  // as they hold now
  // Reads a configuration anew: its settings hold for what comes from then on, and a discovery that is another
  // than the file named before wins over where that was known from. Where anything is wrong with the file,
  // nothing of it is taken.
  void reload(const std::string& path);
  // The same without waiting for the file.
  void reload_in_background(const std::string& path);
  int port() const;
  const Counters& counters() const { return counters_; }

 private:
  friend class Client;
  // Stands for a request that a thread reads: one that is slow to come may be ended to make room.
  class Reading {
   public:
    Reading(Node& node, int fd);
    ~Reading();
    Reading(const Reading&) = delete;
    Reading& operator=(const Reading&) = delete;
    bool was_ended() const;

   private:
    friend class Node;
    Node& node_;
    const int fd_;
    const Moment since_ = Moment::clock::now();
    bool ended_ = false;
  };

  std::shared_ptr<const Terms> terms() const;
  std::shared_ptr<const Terms> settle(Settings fresh, const Names& names, std::shared_ptr<const Settings>& all,
                                      std::vector<Index>& like);
  bool lets_go() const {
    return leaving_ || hands_over_ || stage_.is() == core::Stage::Is::draining;
  }
  void let_idle_go();
  void heed_sibling();
  void share_with(int nodes);  // counts itself as one of so many from now on
  void go_by(std::shared_ptr<Settings> now);
  void reload_as_read();
  void reload_from(const std::string& text, const std::string& path);
  void keep_configuration(const std::string& path, std::string_view why);
  void start_thread(std::string_view what, const std::function<void()>& job);
  void system_offers_times();  // of a client's connection: they are checked, once
  void check_system_times();
  void accept_all();
  void await_client();
  bool accepted(Accepted&& one, bool last);  // false: there is nothing more to accept
  void take(Fd fd);
  core::ArrivalEstimate first_arrival(int fd) const;
  bool work_for(const std::shared_ptr<Client>& client);  // false: no thread is to be had
  bool find_place();            // false: there is none
  bool end_slow_ones(std::chrono::milliseconds slow);  // that have taken so long already; false: there is none
  bool short_of_connections();  // while it stops
  void housekeep();
  void opened(bool has_place);  // a client's connection, and its end
  void closed(bool had_place);

  Config config_;  // as it was last accepted
  core::Lanes lanes_;
  core::Stage stage_;
  std::unique_ptr<Sibling> sibling_;  // where its listener was passed to it
  Ledger alone_;
  const SteadyClock clock_;
  const Moment begun_ = Moment::clock::now();
  core::Balancer balancer_;
  Counters counters_;
  std::shared_ptr<const Terms> terms_;  // guarded by lock_
  std::shared_ptr<const Settings> settings_;  // with the workloads by number; guarded by lock_
  Directory directory_;
  Budget budget_;
  Bytes bytes_;
  Transactions transactions_;
  Pool pool_;
  Vigil vigil_;
  std::unique_ptr<Watch> watch_;
  FileReader file_reader_;
  std::unique_ptr<Peers> peers_;  // where membership is on
  Fd listener_;

  mutable std::mutex lock_;
  std::condition_variable changed_;
  std::set<Reading*> reading_;
  std::size_t open_ = 0, over_budget_ = 0;  // clients' connections, and those of them that have no place
  bool stopped_ = false, accept_over_ = true;
  int nodes_ = 0;         // by the membership; 0: it is off, and the settings tell. Guarded by settling_
  std::mutex settling_;  // over the settings of the module and how they come about
  std::atomic<bool> paired_{false};      // another process of this node is there
  std::atomic<bool> hands_over_{false};  // it stops, and a successor takes what comes
  std::atomic<bool> leaving_{false};  // it stops, and closes what has been answered
  std::atomic<Moment> answer_by_{Moment::max()};  // once it stops: its last answers are due then, and what has not been accepted is not any more
  int accept_shortages_ = 0;          // in a row; the accepting thread's own, as the next two
  bool may_be_more_ = false;          // to accept: one was, and the queue has not been found empty since
  core::ArrivalEstimate queue_looks_{begun_};
  std::atomic<bool> system_times_asked_{false}, trusts_system_times_{false};  // to be checked; they were seen to be true
  std::atomic<std::uint64_t> connections_{0};  // clients', numbered for the log
  Moment drained_since_;              // guarded by lock_
  std::atomic<std::size_t> came_back_{0};  // clients' connections that were used more than once
  const std::size_t reserve_;
  Lobby lobby_;
  Threads workers_, clients_, inner_;  // the last members: their threads use the others
};

}  // namespace troutstage::net
