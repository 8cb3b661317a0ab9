#include "members/engine.h"

#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace troutstage::members {
namespace {

constexpr TenthsOfMs kRetry = 2000;       // what has got no answer is said again
constexpr TenthsOfMs kSeekEvery = 2500;   // one that is no member asks round
constexpr TenthsOfMs kCookie = 20000;     // a cookie is good for so long, and twice that at the most
constexpr TenthsOfMs kRecent = 20000;     // a greeting counts for so long
constexpr TenthsOfMs kQuiet = 1500, kQuietJoin = 3000;  // a change waits until no more has been said for so long
constexpr TenthsOfMs kGather = 10000;     // and this long at the most
constexpr TenthsOfMs kDeputyAfter = 15000, kDeputyStep = 5000;  // where the first in line does not propose it
constexpr TenthsOfMs kAttempt = 20000;    // an attempt that has not come through is given up
constexpr TenthsOfMs kDeaf = 30000;       // one that did not hear is passed over for so long
constexpr int kTries = 5;
constexpr std::size_t kDeciders = 3;  // told of what is seen
constexpr int kMostStrain = 4;
constexpr TenthsOfMs kFirstBack = 10000, kMostBack = 300000;  // before one that was removed asks to come back
constexpr std::size_t kLeastRumours = 64, kNewsEach = 3, kKeptBlobs = 12;
constexpr std::uint64_t kEpochMs = 1704067200000;  // 2024 began, Unix time in milliseconds

std::uint64_t hash_of(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

}  // namespace

class Engine::Impl {
 public:
  Impl(const Setup& setup, TenthsOfMs now)
      : s_(setup), random_(static_cast<std::uint_fast64_t>(setup.seed)), parts_(setup.sharing),
        begun_(now), last_pulse_(now), now_(now), life_(setup.life) {
    nodes_.resize(s_.roster);
    secret_ = random_();
    nonce_ = static_cast<std::uint32_t>(random_() & 0xffff);
    if (!s_.resumed.empty()) resume();
  }

  const Output& decide(TenthsOfMs now, const MemberEvent& event) {
    now_ = std::max(now, now_);
    out_.sends.clear(), out_.notes.clear(), out_.dropped = Dropped::none;
    if (now_ - last_pulse_ > timing().late()) woke_late();
    std::visit([this](const auto& e) { take(e); }, event);
    return out_;
  }

  const View& view() const { return view_; }
  std::uint64_t agreeing() const {
    std::vector<std::uint64_t> all{view_.number, life_, promised_, accepted_, accepted_hash_, floor_, floor_hash_, round_, offered_first_,
                                   formed_at_, majority_lost()};
    if (attempt_) {
      const Attempt& a = *attempt_;
      all.insert(all.end(), {a.forms, a.prepares, a.no_change, a.ballot, a.number, a.hash, a.best, a.best_hash});
      all.insert(all.end(), a.yes.begin(), a.yes.end());
    }
    all.push_back(offer_ ? offer_->offer.hash ^ offer_->offer.ballot : 0);
    return XXH64(all.data(), all.size() * sizeof all[0], 2);
  }
  std::uint64_t stands_by() const {
    return floor_ > view_.number ? floor_ : member() && accepted_ != 0 ? view_.number + 1 : view_.number;
  }
  bool accuses_any() const {
    return std::any_of(standing_.begin(), standing_.end(),
                       [](const auto& s) { return s.second.said.what == Statement::What::accuses; });
  }
  double part(TenthsOfMs now) const { return parts_.part(now, member() ? newest_at_ : now - s_.sharing.lease, wide()); }

  Status status(TenthsOfMs now) const {
    Status st;
    st.self = s_.node;
    st.member = member();
    st.in_majority = member() && now - newest_at_ < s_.sharing.lease;
    st.has_left = leaving_ && left_heard_;
    st.incarnation = life_ + refuted_;
    st.part = part(now);
    for (Index n = 0; n < nodes_.size(); ++n) {
      const Node& p = nodes_[n];
      const Member* m = view_.find(n);
      Known k;
      k.node = n;
      if (m != nullptr) {
        k.name = m->name, k.zone = m->zone;
        k.incarnation = n == s_.node ? life_ + refuted_ : std::max(m->life, p.life) + p.refuted;
        k.state = n != s_.node && now < p.suspect_until ? State::suspect : State::alive;
      } else if (p.gone) {
        k.name = p.name, k.zone = p.zone;
        k.incarnation = p.gone_life;
        k.state = p.gone_left ? State::left : State::dead;
      } else {
        continue;
      }
      st.known.push_back(std::move(k));
    }
    return st;
  }

  std::string snapshot() const {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    out.pack_array(10);
    out.pack(life_).pack(refuted_).pack(nonce_).pack(statement_id_).pack(floor_).pack(promised_).pack(accepted_);
    out.pack(accepted_ != 0 ? blob(accepted_hash_) : std::string());
    out.pack(view_.number != 0 ? members::encode(whole(view_)) : std::string()).pack(floor_hash_);
    return {buffer.data(), buffer.size()};
  }

 private:
  // What is known of each peer.
  struct Node {
    std::uint64_t life = 0;
    std::uint32_t refuted = 0;
    TenthsOfMs suspect_until = 0;
    std::uint32_t cookie = 0;  // it gave
    TenthsOfMs cookie_at = INT64_MIN / 2;
    TenthsOfMs lost_at = INT64_MIN / 2;  // it greeted as one that has lost the majority, both ways open
    TenthsOfMs lost_said = INT64_MIN / 2;  // it answered as such a one
    TenthsOfMs led_at = INT64_MIN / 2;   // it was told to be the lowest of these
    std::string name, zone;
    bool gone = false, gone_left = false;
    std::uint64_t gone_life = 0, removed = 0;  // as it was shown; the newest life that left a view
    TenthsOfMs roll_heard = INT64_MIN / 2;  // the roll call that it last answered was sent
    int tries = 0;                      // rounds of statements in which it heard none
    TenthsOfMs tried_at = INT64_MIN / 2;
    TenthsOfMs deaf_until = 0;
  };
  struct Watched {
    TenthsOfMs next = 0, sent = 0, heard = 0, suspect_since = 0, tried = 0;
    std::uint32_t nonce = 0;
    bool open = false, asked = false, suspect = false;
    std::set<Index> confirmed;
  };
  struct Pending {
    TenthsOfMs sent = 0;
    Index whom = kNone;    // kNone: a roll call
    Index origin = kNone;  // who asked for it
    std::uint32_t origin_nonce = 0;
  };
  struct Standing {
    Statement said;
    TenthsOfMs since = 0, sent = INT64_MIN / 2, anew = 0;
    std::set<Index> heard;
  };
  struct Said {
    Statement said;
    TenthsOfMs at = 0;
  };
  struct Attempt {
    bool forms = false, prepares = false, no_change = false;
    std::uint64_t base = 0, ballot = 0, number = 0, hash = 0;
    std::string blob;
    std::vector<Index> targets;
    std::set<Index> yes;
    TenthsOfMs since = 0, sent = 0;
    std::uint64_t best = 0, best_hash = 0;  // the newest that was accepted before
    Index best_from = kNone;
  };
  struct Assembly {
    std::uint64_t hash = 0;
    std::uint32_t size = 0;
    std::string bytes;
    Index from = kNone;
    TenthsOfMs asked = 0, since = 0;
  };
  struct Rumour {
    News news;
    int told = 0;
  };
  struct Cut {
    std::vector<Index> dead, left;
    std::vector<Member> added;
    bool unstable = false, roster = false;
    bool any() const { return !dead.empty() || !left.empty() || !added.empty() || roster; }
  };

  // --- small things
  const Timing& timing() const { return s_.timing; }
  bool member() const { return view_.has(s_.node, life_); }
  std::uint32_t wide() const { return std::max(s_.roster, view_.roster); }
  bool majority_lost() const {
    return view_.number == 0 || now_ - std::max(newest_at_, installed_at_) >= timing().lost;
  }
  bool fresh() const { return member() && now_ - newest_at_ < s_.sharing.lease; }
  bool holds() const { return member() && accepted_ == 0 && floor_ <= view_.number; }
  std::uint32_t draw(std::uint32_t below) { return static_cast<std::uint32_t>(random_() % below); }
  std::uint32_t new_nonce() { return ++nonce_; }
  bool is_me(Index n) const { return n == s_.node; }
  bool deaf(Index n) const { return n < nodes_.size() && now_ < nodes_[n].deaf_until; }

  void send(Index to, Body body) {
    if (to >= s_.roster || is_me(to)) return;
    Message m;
    m.header = {s_.cluster, s_.node, life_, refuted_, view_.number, kNoAge};
    if (view_.number != 0) {
      const TenthsOfMs age = (now_ - newest_at_) / 8 + 1;
      if (age < kNoAge) m.header.age = static_cast<std::uint32_t>(age);
    }
    m.body = std::move(body);
    std::string bytes = members::encode(m);
    // News is what may be left out where it doesn't fit.
    const auto shed = [&](auto* of) {
      while (of != nullptr && bytes.size() > kMostDatagram && !of->news.empty()) of->news.pop_back(), bytes = members::encode(m);
    };
    shed(std::get_if<Probe>(&m.body)), shed(std::get_if<Ack>(&m.body));
    if (bytes.size() > kMostDatagram) return;
    out_.sends.push_back({to, std::move(bytes), m.body.index()});
  }
  void note(Note::What what, Index node = kNone) {
    out_.notes.push_back({what, node, view_.number, view_.members.size(), {}, {}, {}});
  }

  // --- time
  // What came while this node stood still says nothing of the others, and what it had said before is old.
  void woke_late() {
    last_pulse_ = now_;
    strain_ = kMostStrain;
    forgive();
    tally_.clear(), vouched_.clear();
    attempt_.reset();
    sane_from_ = now_ + timing().suspect + timing().confirm_most;
    note(Note::What::paused);
  }

  void forgive() {
    for (auto& [n, w] : watched_) {
      w.heard = now_, w.suspect = w.open = false, w.next = now_ + draw(static_cast<std::uint32_t>(timing().probe));
      w.confirmed.clear();
    }
    for (auto& [n, st] : standing_)
      if (st.said.what == Statement::What::accuses) restate(st, Statement::What::clears);
  }

  void take(const Pulse&) {
    last_pulse_ = now_;
    while (!pending_.empty() && now_ - pending_.begin()->second.sent > 2 * timing().suspect) pending_.erase(pending_.begin());
    if (roster_one()) newest_at_ = now_;
    if (leaving_) return say();
    probe_watched();
    call_roll();
    say();
    propose_if_due();
    go_on();
    seek();
    fetch_on();
    parts_.forget_old(now_);
    const bool has = fresh();
    if (has != had_majority_) note(has ? Note::What::majority_back : Note::What::majority_lost);
    had_majority_ = has;
  }
  bool roster_one() const { return wide() == 1 && member(); }

  void take(const Leave&) {
    leaving_ = true;
    attempt_.reset();
    standing_.clear();
    if (!member()) { left_heard_ = true; return; }
    state(s_.node, Statement::What::leaves, life_, refuted_);
    say();
  }

  void take(const NewRoster& fresh) {
    s_.roster = fresh.roster;
    roster_ordered_ = true;
    if (nodes_.size() < s_.roster) nodes_.resize(s_.roster);
  }

  void take(const Propose& p) {
    if (!member() || attempt_) return;
    Cut c;
    c.left = p.left;
    start(c);
  }

  void take(const FormAnew& f) {
    if (!majority_lost() || attempt_ || f.together.size() < wide() / 2 + 1) return;
    form(f.together);
  }

  // --- what comes
  void take(const Came& came) {
    auto read = decode(came.bytes, s_.cluster);
    if (const Dropped* why = std::get_if<Dropped>(&read)) { out_.dropped = *why; return; }
    Message& m = std::get<Message>(read);
    const Index from = m.header.from;
    if (from != came.from || from >= s_.roster || is_me(from)) { out_.dropped = Dropped::sender; return; }
    out_.came = m.body.index();
    Node& p = nodes_[from];
    if (m.header.life < p.life) { out_.dropped = Dropped::old_life; return; }
    if (m.header.life > p.life) p.life = m.header.life, p.refuted = 0;
    if (leaving_ && !std::holds_alternative<Heard>(m.body)) return;
    if (m.header.number > view_.number) fetch_view(from);
    std::visit([&](auto& body) { heard(m.header, body); }, m.body);
  }

  void heard(const Header& h, const Probe& probe) {
    hear_news(probe.news);
    if (probe.suspects && h.number == view_.number) refute();
    send(h.from, Ack{probe.nonce, s_.node, holds(), take_news()});
  }
  void heard(const Header& h, const Ack& ack) {
    hear_news(ack.news);
    const auto at = pending_.find(ack.nonce);
    if (at == pending_.end()) return;
    const Pending p = at->second;
    if (p.origin != kNone) {
      if (h.from != p.whom) return;
      pending_.erase(at);
      return send(p.origin, Ack{p.origin_nonce, h.from, false, take_news()});
    }
    // As of its age before this answer, so at the asking less that age at the least, nothing newer was agreed on.
    if (h.number == view_.number && h.age != kNoAge)
      newest_at_ = std::max(newest_at_, p.sent - static_cast<TenthsOfMs>(h.age) * 8 - 1);
    if (p.whom == kNone) {
      if (ack.about != h.from || h.number != view_.number) return;
      if (ack.holds) nodes_[h.from].roll_heard = std::max(nodes_[h.from].roll_heard, p.sent);
      else unsettled_at_ = now_;
      return count_roll();
    }
    if (ack.about != p.whom) return;
    const auto w = watched_.find(p.whom);
    if (w == watched_.end()) return;
    if (w->second.nonce == ack.nonce) {
      if (w->second.open) strain_ = std::max(0, strain_ - 1);
      w->second.open = false;
    }
    alive(p.whom, w->second, p.sent);
  }
  void heard(const Header& h, const Ask& ask) {
    if (ask.whom >= s_.roster || is_me(ask.whom)) return;
    const std::uint32_t nonce = new_nonce();
    pending_[nonce] = {now_, ask.whom, h.from, ask.nonce};
    send(ask.whom, Probe{nonce, false, false, take_news()});
  }
  void heard(const Header& h, const Hello& hello) {
    Node& p = nodes_[h.from];
    p.name = hello.name.substr(0, kMostName), p.zone = hello.zone.substr(0, kMostName);
    const bool both_ways = hello.echo != 0 && (hello.echo == cookie_for(h.from, 0) || hello.echo == cookie_for(h.from, 1));
    if (both_ways && hello.lost) p.lost_at = now_;
    if (both_ways && fresh() && !view_.has(h.from, h.life) && h.life > p.removed) {
      Standing& st = state(h.from, Statement::What::vouches, h.life, 0);
      st.said.name = p.name, st.said.zone = p.zone;
      st.since = now_;
    }
    const bool lost = majority_lost();
    send(h.from, Welcome{cookie_for(h.from, 0), std::max(p.life, p.removed), h.life <= p.removed, lost, lost ? lead() : kNone});
  }
  void heard(const Header& h, const Welcome& w) {
    Node& p = nodes_[h.from];
    p.cookie = w.cookie, p.cookie_at = now_;
    // A newer life of its own name is one before a clock went back, unless it has been a member itself. It may also
    // have been in a view, and out of it, that it never heard of.
    if (!member() && ((view_.number == 0 && w.your_life > life_) || (w.spent && w.your_life >= life_)))
      life_ = std::max(w.your_life, life_ + refuted_) + 1, refuted_ = 0;
    // A majority goes on under an older number: this node's own view was formed by one whose clock was ahead, and those
    // that held it have been started anew since. It could never be told of what they agree on.
    if (!w.lost && h.number != 0 && h.number < view_.number && static_cast<TenthsOfMs>(h.age) * 8 < s_.sharing.lease && majority_lost()) begin_anew();
    if (w.lost && w.lead < nodes_.size()) nodes_[w.lead].led_at = now_;
    if (w.lost && w.lead == h.from) p.led_at = now_;
    p.lost_said = w.lost ? now_ : INT64_MIN / 2;
  }
  void heard(const Header& h, const Statement& said) {
    if (h.number != view_.number || !view_.has(h.from, h.life) || said.node >= nodes_.size()) return;
    send(h.from, Heard{said.id});
    hear(h.from, said);
  }
  void heard(const Header& h, const Heard& h2) {
    Node& p = nodes_[h.from];
    p.tries = 0, p.deaf_until = 0;
    for (auto& [n, st] : standing_)
      if (st.said.id == h2.id) {
        st.heard.insert(h.from);
        if (st.said.what == Statement::What::leaves) left_heard_ = true;
      }
  }
  void heard(const Header& h, const Prepare& p) {
    if (p.base != view_.number || !member() || !view_.has(h.from, h.life) || floor_ > p.base) return;
    send(h.from, promise(p));
  }
  void heard(const Header& h, const Promise& p) { promised_by(h.from, h.life, p); }
  void heard(const Header& h, const Offer& offer) {
    if (!offer_stands(h.from, h.life, offer)) {
      // Its maker's clock may be behind: it is told over which number the next one has to be.
      if (offer.base == 0 && offer.number <= std::max(view_.number, floor_)) send(h.from, Offered{0, offer.ballot, std::max(view_.number, floor_), false});
      return;
    }
    keep_piece(h.from, offer.hash, offer.size, 0, offer.piece);
    offer_ = {h.from, offer};
    answer_offer();
  }
  void heard(const Header& h, const Offered& o) { offered_by(h.from, h.life, o); }
  void heard(const Header& h, const Commit& c) {
    if (c.number <= view_.number) return;
    const std::string bytes = blob(c.hash);
    if (bytes.empty() || !install_bytes(bytes)) fetch_view(h.from);
  }
  void heard(const Header& h, const Fetch& f) {
    std::string bytes;
    if (f.view) {
      if (view_.number <= f.have) return;
      for (const auto& [base, hash] : history_)
        if (base == f.have && base != 0) bytes = blob(hash);
      if (bytes.empty()) bytes = members::encode(whole(view_));
    } else if ((bytes = blob(f.hash)).empty()) {
      return;
    }
    const std::uint64_t hash = hash_of(bytes);
    std::size_t at = f.hash == hash ? f.at : 0;
    for (int n = 0; n < 4 && at < bytes.size(); ++n, at += kMostPiece)
      send(h.from, Piece{hash, static_cast<std::uint32_t>(bytes.size()), static_cast<std::uint32_t>(at),
                         bytes.substr(at, kMostPiece), f.view});
  }
  void heard(const Header& h, const Piece& p) {
    if (p.agreed && h.number > view_.number && viewing_.from == h.from) viewing_.hash = p.hash;
    keep_piece(h.from, p.hash, p.size, p.at, p.bytes);
    if (p.agreed && viewing_.hash == p.hash) {
      viewing_.asked = now_;
      const std::string bytes = blob(p.hash);
      if (!bytes.empty()) {
        viewing_ = {};
        install_bytes(bytes);
      }
    }
    answer_offer();
    chosen_before();
  }

  // --- watching
  void watch_anew() {
    std::map<Index, Watched> next;
    if (member()) {
      if (!rings_ || rings_for_ != view_.roster) rings_ = std::make_shared<Rings>(view_.roster), rings_for_ = view_.roster;
      watchers_ = rings_->watchers(view_);
      for (std::size_t i = 0; i < view_.members.size(); ++i) {
        const Index n = view_.members[i].node;
        if (is_me(n) || std::find(watchers_[i].begin(), watchers_[i].end(), s_.node) == watchers_[i].end()) continue;
        const auto before = watched_.find(n);
        Watched w;
        if (before != watched_.end()) w = before->second;
        else w.heard = now_, w.next = now_ + draw(static_cast<std::uint32_t>(timing().probe));
        next[n] = std::move(w);
      }
    } else {
      watchers_.clear();
    }
    watched_ = std::move(next);
  }

  void probe_watched() {
    // One that hears nobody has itself to blame, and when it hears again, what it missed is held against nobody.
    const bool any_heard = watched_.size() < 2 || std::any_of(watched_.begin(), watched_.end(), [&](const auto& w) { return now_ - w.second.heard < timing().suspect; });
    if (any_heard && alone_) forgive();
    alone_ = !any_heard;
    for (auto& [n, w] : watched_) {
      if (w.open && !w.asked && now_ - w.sent >= timing().answer) {
        w.asked = true;
        for (int i = 0; i < timing().helpers; ++i) {
          const Index helper = view_.members[draw(static_cast<std::uint32_t>(view_.members.size()))].node;
          if (helper != n && !is_me(helper)) send(helper, Ask{w.nonce, n});
        }
      }
      if (now_ >= w.next) {
        // The first miss of one that was well may be its own fault; more in a row tell of the other.
        if (w.open && now_ - w.heard < 2 * timing().probe + timing().answer) strain_ = std::min(kMostStrain, strain_ + 1);
        w.nonce = new_nonce(), w.sent = now_, w.open = true, w.asked = false;
        w.next = std::max(w.next + timing().probe, now_);
        pending_[w.nonce] = {now_, n, kNone, 0};
        send(n, Probe{w.nonce, w.suspect, false, take_news()});
      }
      // A node that is itself slow accuses later.
      const TenthsOfMs patience = timing().suspect * (2 + strain_) / 2;
      if (!w.suspect && now_ - w.heard >= patience) {
        w.suspect = true, w.suspect_since = now_;
        nodes_[n].suspect_until = now_ + timing().suspect;
        spread({News::What::suspect, n, nodes_[n].life, nodes_[n].refuted, s_.node});
        note(Note::What::suspected, n);
      }
      if (!w.suspect) continue;
      nodes_[n].suspect_until = std::max(nodes_[n].suspect_until, now_ + timing().pulse);
      // Watchers that are missed themselves can confirm nothing.
      const auto& by = watchers_of(n);
      const auto others = std::count_if(by.begin(), by.end(), [&](Index o) { return !is_me(o) && now_ >= nodes_[o].suspect_until; });
      const double sure = others <= 0 ? 1 : std::min(1.0, static_cast<double>(w.confirmed.size()) / static_cast<double>(others));
      const auto wait = timing().confirm_most - static_cast<TenthsOfMs>(sure * static_cast<double>(timing().confirm_most - timing().confirm_least));
      const bool accused = standing_.count(n) > 0 && standing_[n].said.what == Statement::What::accuses;
      if (!accused && now_ - w.suspect_since >= wait && any_heard) {
        state(n, Statement::What::accuses, life_in_view(n), nodes_[n].refuted);
        note(Note::What::accused, n);
      }
    }
  }
  std::uint64_t life_in_view(Index n) const {
    const Member* m = view_.find(n);
    return m == nullptr ? 0 : m->life;
  }
  const std::vector<Index>& watchers_of(Index n) const {
    static const std::vector<Index> none;
    const Member* m = view_.find(n);
    return m == nullptr || watchers_.empty() ? none : watchers_[static_cast<std::size_t>(m - view_.members.data())];
  }

  // A sign of life that answers what was sent then.
  void alive(Index n, Watched& w, TenthsOfMs sent) {
    w.heard = std::max(w.heard, sent);
    if (!w.suspect || sent < w.suspect_since) return;
    w.suspect = false, w.confirmed.clear();
    nodes_[n].suspect_until = 0;
    const auto st = standing_.find(n);
    if (st != standing_.end() && st->second.said.what == Statement::What::accuses) restate(st->second, Statement::What::clears);
    note(Note::What::refuted, n);
  }

  void refute() {
    if (now_ - refuted_at_ < kRetry) return;
    refuted_at_ = now_;
    ++refuted_;
    spread({News::What::well, s_.node, life_, refuted_, s_.node});
  }

  // --- news
  void spread(const News& news) {
    std::erase_if(rumours_, [&](const Rumour& r) { return r.news.node == news.node && (news.by == r.news.by || r.news.refuted < news.refuted); });
    rumours_.push_front({news, 0});
    if (rumours_.size() > std::max<std::size_t>(kLeastRumours, s_.roster)) rumours_.pop_back();  // as many as there are peers
  }
  std::vector<News> take_news() {
    std::vector<News> taken;
    if (rumours_.empty()) return taken;
    int most = 3;
    for (std::size_t n = view_.members.size(); n > 1; n /= 2) most += 1;
    std::stable_sort(rumours_.begin(), rumours_.end(), [](const Rumour& a, const Rumour& b) { return a.told < b.told; });
    for (auto& r : rumours_) {
      if (taken.size() == kNewsEach) break;
      taken.push_back(r.news);
      ++r.told;
    }
    std::erase_if(rumours_, [&](const Rumour& r) { return r.told >= most; });
    return taken;
  }
  void hear_news(const std::vector<News>& all) {
    for (const News& news : all) {
      if (news.node >= nodes_.size()) continue;
      Node& p = nodes_[news.node];
      if (is_me(news.node)) {
        if (news.what == News::What::suspect && news.life == life_ && news.refuted >= refuted_) refute();
        continue;
      }
      if (news.life != p.life) continue;
      if (news.what == News::What::well && news.refuted > p.refuted) {
        p.refuted = news.refuted;
        p.suspect_until = 0;
        if (const auto w = watched_.find(news.node); w != watched_.end()) alive(news.node, w->second, now_);
        spread(news);
      } else if (news.what == News::What::suspect && news.refuted >= p.refuted && news.by < nodes_.size()) {
        const bool fresh_one = now_ >= p.suspect_until;
        p.refuted = news.refuted;
        p.suspect_until = now_ + timing().suspect;
        if (fresh_one) spread(news);
        const auto w = watched_.find(news.node);
        const auto& by = watchers_of(news.node);
        if (w == watched_.end() || std::find(by.begin(), by.end(), news.by) == by.end()) continue;
        w->second.confirmed.insert(news.by);
        if (!w->second.suspect && !w->second.open) w->second.next = std::min(w->second.next, now_);
      }
    }
  }

  // --- what is said to those who decide
  Standing& state(Index node, Statement::What what, std::uint64_t life, std::uint32_t refuted) {
    Standing& st = standing_[node];
    if (st.said.id != 0 && st.said.what == what && st.said.life == life && st.said.refuted == refuted) return st;
    st = {};
    st.said.what = what, st.said.node = node, st.said.life = life, st.said.refuted = refuted;
    st.said.id = ++statement_id_;
    st.since = now_;
    return st;
  }
  void restate(Standing& st, Statement::What what) {
    st.said.what = what, st.said.id = ++statement_id_, st.said.name.clear(), st.said.zone.clear();
    st.heard.clear(), st.since = now_, st.sent = INT64_MIN / 2;
  }
  std::vector<Index> deciders() const {
    std::vector<Index> first;
    for (const Member& m : view_.members) {
      if (leaving_ && is_me(m.node)) continue;
      if (first.size() < kDeciders && !deaf(m.node)) first.push_back(m.node);
    }
    return first;
  }
  void say() {
    if (!member()) return;
    const std::vector<Index> to = deciders();
    for (auto at = standing_.begin(); at != standing_.end();) {
      Standing& st = at->second;
      const bool over = (st.said.what == Statement::What::clears || st.said.what == Statement::What::vouches) && now_ - st.since > kRecent;
      if (over) { at = standing_.erase(at); continue; }
      // A vouch is good for a while only.
      if (st.said.what == Statement::What::vouches && now_ - st.anew >= 3 * kRetry) st.heard.clear(), st.anew = now_;
      if (now_ - st.sent >= kRetry) {
        st.sent = now_;
        for (Index n : to) {
          if (st.heard.count(n) || n == st.said.node) continue;
          if (is_me(n)) {
            hear(n, st.said), st.heard.insert(n);
            continue;
          }
          // Rounds count, not statements: who has much to say at once would take all for deaf.
          if (Node& p = nodes_[n]; now_ - p.tried_at >= kRetry) {
            p.tried_at = now_;
            if (++p.tries > kTries) p.deaf_until = now_ + kDeaf, p.tries = 0;
          }
          send(n, st.said);
        }
      }
      ++at;
    }
  }
  void hear(Index from, const Statement& said) {
    auto& last = last_said_[{from, said.node}];
    if (said.id < last) return;
    last = said.id;
    auto& of = said.what == Statement::What::vouches ? vouched_ : tally_;
    const auto at = of[said.node].find(from);
    const bool is_news = at == of[said.node].end() || at->second.said.id != said.id;
    if (said.what == Statement::What::clears) {
      tally_[said.node].erase(from), vouched_[said.node].erase(from);
    } else {
      of[said.node][from] = {said, now_};
      if (is_news) said_at_ = now_;
    }
  }

  // --- what should change
  static std::size_t needed(std::size_t watchers) { return std::max<std::size_t>(1, (watchers * 3 + 4) / 5); }

  // Many watchers must miss a node (the high mark). While one is missed by some (over the low mark) but not by so
  // many, more is about to come, and a change waits for it: a lost zone then is one change.
  Cut cut() {
    Cut c;
    std::map<Index, std::size_t> count, explicitly;
    for (auto& [n, by] : tally_) {
      const Member* m = view_.find(n);
      if (m == nullptr || is_me(n)) continue;
      bool leaves = false;
      std::size_t accusers = 0;
      for (auto& [who, said] : by) {
        if (said.said.life != m->life) continue;
        if (said.said.what == Statement::What::leaves && who == n) leaves = true;
        const auto& watchers = watchers_of(n);
        if (said.said.what == Statement::What::accuses && said.said.refuted >= nodes_[n].refuted &&
            std::find(watchers.begin(), watchers.end(), who) != watchers.end())
          ++accusers;
      }
      if (leaves) c.left.push_back(n);
      else if (accusers > 0) explicitly[n] = count[n] = accusers;
    }
    // Watchers that are missed themselves can't say anything.
    for (bool changed = true; changed;) {
      changed = false;
      for (auto& [n, e] : explicitly) {
        std::size_t all = e;
        for (Index w : watchers_of(n)) {
          const auto other = count.find(w);
          const bool spoke = tally_[n].count(w) > 0;
          if (!spoke && other != count.end() && other->second >= std::min<std::size_t>(2, needed(watchers_of(w).size()))) ++all;
        }
        if (all != count[n]) count[n] = all, changed = true;
      }
    }
    for (const auto& [n, all] : count) {
      const std::size_t most = needed(watchers_of(n).size());
      if (all >= most) c.dead.push_back(n);
      else if (all >= std::min<std::size_t>(2, most)) c.unstable = true;
    }
    for (auto& [n, by] : vouched_) {
      std::size_t vouchers = 0;
      Member m;
      for (auto& [who, said] : by) {
        if (now_ - said.at > kRecent || said.said.life < nodes_[n].life || said.said.life <= nodes_[n].removed || view_.has(n, said.said.life)) continue;
        if (said.said.life > m.life) m = {n, said.said.life, said.said.name.substr(0, kMostName), said.said.zone.substr(0, kMostName)}, vouchers = 0;
        if (said.said.life == m.life) ++vouchers;
      }
      const Member* present = view_.find(n);
      if (present != nullptr && present->life > m.life) continue;
      if (vouchers >= std::min<std::size_t>(2, view_.members.size()) && n < s_.roster) {
        c.added.push_back(m);
        std::erase(c.dead, n);
      }
    }
    // Fewer than a majority could agree on nothing any more, not even on who comes back.
    if (view_.members.size() - c.dead.size() < view_.majority()) c.dead.clear();
    // A list that is longer than the view knows is new; a shorter one may be old, unless it was just ordered.
    if (s_.roster > view_.roster || (s_.roster < view_.roster && roster_ordered_)) {
      c.roster = true;
      for (const Member& m : view_.members)
        if (m.node >= s_.roster && std::find(c.left.begin(), c.left.end(), m.node) == c.left.end()) {
          c.left.push_back(m.node);
          std::erase(c.dead, m.node);
        }
    }
    return c;
  }

  bool acting(const Cut& c) const {
    for (const Member& m : view_.members) {
      if (is_me(m.node)) return true;
      const auto in = [&](const std::vector<Index>& v) { return std::find(v.begin(), v.end(), m.node) != v.end(); };
      if (!deaf(m.node) && !in(c.dead) && !in(c.left)) return false;
    }
    return false;
  }

  void propose_if_due() {
    if (!member() || attempt_ || now_ < sane_from_ || now_ < backoff_until_ || majority_lost()) return;
    const Cut c = cut();
    acting_ = acting(c);
    const bool unsettled = acting_ && now_ - unsettled_at_ < timing().roll_call && now_ - installed_at_ > kDeputyAfter;
    if (!c.any() && !(accepted_ != 0 && now_ - accepted_at_ > kDeputyAfter) && !unsettled) { due_since_ = INT64_MAX; return; }
    due_since_ = std::min(due_since_, now_);
    const TenthsOfMs waited = now_ - due_since_;
    const TenthsOfMs quiet = c.dead.empty() && c.left.empty() ? kQuietJoin : kQuiet;
    if (waited < kGather && (c.unstable || now_ - said_at_ < quiet)) return;
    if (!acting_) {
      TenthsOfMs rank = 0;
      for (const Member& m : view_.members) rank += m.node < s_.node ? 1 : 0;
      if (waited < kDeputyAfter + kDeputyStep * std::min<TenthsOfMs>(rank, 8)) return;
    }
    start(c);
  }

  // --- agreeing
  void start(const Cut& c) {
    if (!has_next_number(view_.number)) return;
    Attempt a;
    a.base = view_.number, a.number = view_.number + 1;
    a.no_change = !c.any();
    Change change{a.base, a.number, c.roster ? s_.roster : view_.roster, c.dead, c.left, c.added};
    set_blob(a, members::encode(change));
    a.since = a.sent = now_;
    for (const Member& m : view_.members) a.targets.push_back(m.node);
    // The first of the view may offer one change without asking what was accepted before: nothing can have been.
    const bool first = view_.members.front().node == s_.node && !offered_first_ && promised_ == 0 && !a.no_change;
    a.prepares = !first;
    if (first) offered_first_ = true;
    a.ballot = first ? s_.node + 1 : next_ballot();
    attempt_ = std::move(a);
    ask_targets();
  }
  std::uint64_t next_ballot() {
    round_ = std::max(round_, promised_ >> 12) + 1;
    return round_ << 12 | (s_.node + 1);
  }
  void set_blob(Attempt& a, std::string bytes) {
    a.hash = hash_of(bytes);
    keep_blob(a.hash, bytes);
    a.blob = std::move(bytes);
  }
  Offer offer_of(const Attempt& a) const {
    return {a.base, a.ballot, a.number, a.hash, static_cast<std::uint32_t>(a.blob.size()), a.blob.substr(0, kMostPiece)};
  }
  void ask_targets() {
    Attempt& a = *attempt_;
    a.sent = now_;
    const std::uint64_t ballot = a.ballot;
    const bool prepares = a.prepares;
    const std::vector<Index> targets = a.targets;
    for (Index n : targets) {
      if (!attempt_ || attempt_->ballot != ballot || attempt_->prepares != prepares) return;
      if (attempt_->yes.count(n)) continue;
      if (!is_me(n)) {
        if (prepares) send(n, Prepare{attempt_->base, ballot});
        else send(n, offer_of(*attempt_));
      } else if (prepares) {
        promised_by(n, life_, promise({attempt_->base, ballot}));
      } else {
        const Offer o = offer_of(*attempt_);
        if (offer_stands(n, life_, o)) offered_by(n, life_, accept(o, attempt_->blob));
      }
    }
  }
  void go_on() {
    if (!attempt_) return;
    if (now_ - attempt_->since > kAttempt) {
      attempt_.reset();
      backoff_until_ = now_ + kRetry + draw(static_cast<std::uint32_t>(kDeputyAfter));
      return;
    }
    if (now_ - attempt_->sent >= kRetry) ask_targets();
  }

  Promise promise(const Prepare& p) {
    if (p.ballot > promised_) promised_ = p.ballot;
    return {p.base, p.ballot, promised_, accepted_, accepted_ != 0 ? accepted_hash_ : 0};
  }
  bool may_speak(Index n, std::uint64_t life) const {
    return attempt_->forms ? nodes_[n].life == life || is_me(n) : view_.has(n, life);
  }
  std::size_t enough() const {
    const std::uint32_t most = attempt_->forms ? wide() : std::max(view_.roster, s_.roster);
    return most / 2 + 1;
  }
  void promised_by(Index from, std::uint64_t life, const Promise& p) {
    if (!attempt_ || !attempt_->prepares || p.base != attempt_->base || p.ballot != attempt_->ballot || !may_speak(from, life)) return;
    if (p.promised > p.ballot) return outbid(p.promised);
    attempt_->yes.insert(from);
    if (p.accepted > attempt_->best) attempt_->best = p.accepted, attempt_->best_hash = p.hash, attempt_->best_from = from;
    chosen_before();
  }
  // Enough have promised: the newest that one of them accepted must be offered on, since it may be agreed on already.
  void chosen_before() {
    if (!attempt_ || !attempt_->prepares || attempt_->yes.size() < enough()) return;
    if (attempt_->best == 0) {
      if (attempt_->no_change) { attempt_.reset(); unsettled_at_ = INT64_MIN / 2; return; }
    } else {
      const std::string bytes = blob(attempt_->best_hash);
      if (bytes.empty()) return fetch_hash(attempt_->best_from, attempt_->best_hash);
      set_blob(*attempt_, bytes);
    }
    attempt_->prepares = false;
    attempt_->yes.clear();
    ask_targets();
  }
  void outbid(std::uint64_t by) {
    round_ = std::max(round_, by >> 12);
    attempt_.reset();
    backoff_until_ = now_ + kRetry / 2 + draw(static_cast<std::uint32_t>(2 * kRetry));
  }

  // As another process of its name: what it has promised and accepted holds for nobody any more.
  void begin_anew() {
    life_ += refuted_ + 1, refuted_ = 0;
    view_ = {};
    promised_ = accepted_ = accepted_hash_ = floor_ = floor_hash_ = 0, accepted_at_ = 0, round_ = 0, offered_first_ = false;
    attempt_.reset(), offer_.reset();
    tally_.clear(), vouched_.clear(), last_said_.clear(), standing_.clear();
    newest_at_ = installed_at_ = INT64_MIN / 2;
    parts_.installed(now_, 0, false, 0);
    watch_anew();
  }

  // Whether an offer may still be accepted here. One that forms a view anew needs a majority of all names, each of
  // which has lost what it had: no older view has a majority that holds to it then, or ever again.
  bool offer_stands(Index from, std::uint64_t life, const Offer& o) const {
    if (o.base == 0) {
      if (o.number <= view_.number || o.number < floor_ || (o.number == floor_ && o.hash != floor_hash_)) return false;
      if (o.number == floor_) return true;
      // Who asked for what was accepted here a moment ago may still count on that word.
      const bool given = accepted_ != 0 || (floor_ > view_.number && formed_by(floor_) != formed_by(o.number));
      return majority_lost() && (!given || now_ - accepted_last_ > 2 * kAttempt);
    }
    return o.base == view_.number && o.number == o.base + 1 && floor_ <= view_.number && member() &&
           view_.has(from, life) && o.ballot >= promised_;
  }
  void answer_offer() {
    if (!offer_) return;
    const auto [from, o] = *offer_;
    if (!offer_stands(from, nodes_[from].life, o)) {
      if (o.base == view_.number && o.ballot < promised_) send(from, Offered{o.base, o.ballot, promised_, false});
      offer_.reset();
      return;
    }
    const std::string bytes = blob(o.hash);
    if (bytes.empty()) return fetch_hash(from, o.hash);
    offer_.reset();
    const auto change = decode_change(bytes);
    if (!change || change->number != o.number || change->base != o.base) return;
    if (o.base == 0 && std::none_of(change->added.begin(), change->added.end(), [&](const Member& m) { return is_me(m.node) && m.life == life_; })) return;
    // Who hears that it is called dead is not.
    if (std::find(change->dead.begin(), change->dead.end(), s_.node) != change->dead.end()) return;
    send(from, accept(o, bytes));
  }
  Offered accept(const Offer& o, const std::string& bytes) {
    keep_blob(o.hash, bytes);
    if (o.base == 0) {
      floor_ = o.number, floor_hash_ = o.hash, accepted_last_ = now_;
      // Its own word for an older one must not be counted after this.
      if (attempt_ && attempt_->number != o.number) attempt_.reset();
    } else {
      promised_ = accepted_ = o.ballot, accepted_last_ = now_;
      if (accepted_hash_ != o.hash || accepted_at_ == 0) accepted_at_ = now_;
      accepted_hash_ = o.hash;
    }
    return {o.base, o.ballot, o.ballot, true};
  }
  void offered_by(Index from, std::uint64_t life, const Offered& o) {
    if (!attempt_ || attempt_->prepares || o.base != attempt_->base || o.ballot != attempt_->ballot || !may_speak(from, life)) return;
    if (!o.accepted) {
      if (attempt_->forms && o.promised >= o.ballot) formed_at_ = std::max(formed_at_, formed_at(o.promised)), attempt_.reset();
      else if (o.promised > o.ballot) outbid(o.promised);
      return;
    }
    attempt_->yes.insert(from);
    if (attempt_->yes.size() < enough()) return;
    const Attempt done = *attempt_;
    attempt_.reset();
    const View before = view_;
    if (!install_bytes(done.blob)) return;
    newest_at_ = std::max(newest_at_, done.since);
    if (done.forms) note(Note::What::formed);
    std::set<Index> all;
    for (const Member& m : before.members) all.insert(m.node);
    for (const Member& m : view_.members) all.insert(m.node);
    for (Index n : all) send(n, Commit{view_.number, done.hash});
  }

  // --- views
  bool install_bytes(const std::string& bytes) {
    const auto change = decode_change(bytes);
    if (!change || change->number <= view_.number || (change->base != 0 && change->base != view_.number)) return false;
    auto next = members::apply(view_, *change);
    if (!next) return false;
    keep_blob(hash_of(bytes), bytes);
    history_.push_back({change->base, hash_of(bytes)});
    if (history_.size() > kKeptBlobs / 2) history_.pop_front();
    install(std::move(*next), *change);
    return true;
  }
  void install(View next, const Change& change) {
    const bool was_in = member();
    Note n;
    n.what = Note::What::view_accepted;
    for (const Member& m : next.members)
      if (!view_.has(m.node, m.life)) n.came.push_back(m.node);
    for (const Member& m : view_.members) {
      if (next.find(m.node) != nullptr || m.node >= nodes_.size()) continue;
      Node& p = nodes_[m.node];
      p.removed = std::max(p.removed, m.life);
      p.gone = true, p.gone_life = std::max(p.gone_life, m.life + p.refuted), p.name = m.name, p.zone = m.zone;
      p.gone_left = std::find(change.left.begin(), change.left.end(), m.node) != change.left.end();
      (p.gone_left ? n.left : n.died).push_back(m.node);
    }
    view_ = std::move(next);
    if (nodes_.size() < view_.roster) nodes_.resize(view_.roster);
    for (const Member& m : view_.members) {
      Node& p = nodes_[m.node];
      if (m.life > p.life) p.life = m.life, p.refuted = 0;
      p.name = m.name, p.zone = m.zone, p.gone = false;
    }
    installed_at_ = now_;
    if (view_.roster == s_.roster) roster_ordered_ = false;
    n.number = view_.number, n.size = view_.members.size();
    out_.notes.push_back(std::move(n));
    promised_ = accepted_ = accepted_hash_ = 0, accepted_at_ = 0, round_ = 0, offered_first_ = false;
    if (view_.number > floor_) floor_ = view_.number, floor_hash_ = 0;
    attempt_.reset();
    tally_.clear(), vouched_.clear(), last_said_.clear();
    due_since_ = INT64_MAX, unsettled_at_ = INT64_MIN / 2, acting_ = false;
    for (Node& p : nodes_) p.roll_heard = INT64_MIN / 2;
    if (was_in && !member()) {
      // What it sent until now may still come, and must not bring it back once it has died.
      life_ += refuted_ + 1, refuted_ = 0;
      back_wait_ = now_ - joined_at_ > kMostBack ? kFirstBack : std::min(kMostBack, std::max(kFirstBack, 2 * back_wait_));
      back_from_ = now_ + back_wait_;
    }
    if (!was_in && member()) joined_at_ = now_;
    parts_.installed(now_, view_.number, member(), view_.members.size());
    watch_anew();
    // What still holds is said anew; what is no member any more needs no words.
    std::erase_if(standing_, [&](const auto& s) {
      const auto what = s.second.said.what;
      if (what == Statement::What::vouches) return view_.has(s.first, s.second.said.life);
      return what == Statement::What::clears || view_.find(s.first) == nullptr || (what == Statement::What::accuses && watched_.count(s.first) == 0);
    });
    for (auto& [node, st] : standing_) st.heard.clear(), st.sent = INT64_MIN / 2;
  }

  void fetch_view(Index from) {
    if (viewing_.from != kNone && now_ - viewing_.asked < timing().answer) return;
    viewing_ = {};
    viewing_.from = from;
    ask_view();
  }
  void ask_view() {
    viewing_.asked = now_;
    const auto at = viewing_.hash != 0 ? assembled_.find(viewing_.hash) : assembled_.end();
    send(viewing_.from, Fetch{true, view_.number, viewing_.hash, at == assembled_.end() ? 0 : static_cast<std::uint32_t>(at->second.bytes.size())});
  }
  void fetch_hash(Index from, std::uint64_t hash) {
    Assembly& a = assembled_[hash];
    if (a.from == from && now_ - a.asked < timing().pulse) return;
    a.hash = hash, a.from = from, a.asked = now_;
    if (a.since == 0) a.since = now_;
    send(from, Fetch{false, 0, hash, static_cast<std::uint32_t>(a.bytes.size())});
  }
  void fetch_on() {
    if (viewing_.from != kNone && now_ - viewing_.asked >= timing().answer) {
      if (viewing_.tries++ > 20) viewing_ = {};
      else ask_view();
    }
    if (offer_) answer_offer();
    std::erase_if(assembled_, [&](const auto& a) { return now_ - a.second.since > 2 * kAttempt; });
    chosen_before();
  }
  void keep_piece(Index from, std::uint64_t hash, std::uint32_t size, std::uint32_t at, const std::string& bytes) {
    if (size == 0 || size > 128 * 1024 || !blob(hash).empty()) return;
    if (assembled_.size() >= 8 && assembled_.count(hash) == 0) return;
    Assembly& a = assembled_[hash];
    if (a.since == 0) a.since = now_, a.hash = hash, a.from = from;
    if (at != a.bytes.size() || at + bytes.size() > size) return;
    a.bytes += bytes;
    if (a.bytes.size() < size) {
      // Four came in a row: the next ones are asked for at once.
      if (a.bytes.size() % (4 * kMostPiece) == 0 || at == 0) a.asked = INT64_MIN / 2;
      if (a.bytes.size() % (4 * kMostPiece) == 0 && viewing_.hash == hash) ask_view();
      return;
    }
    std::string all = std::move(a.bytes);
    assembled_.erase(hash);
    if (hash_of(all) == hash) keep_blob(hash, all);
  }
  void keep_blob(std::uint64_t hash, const std::string& bytes) {
    for (const auto& [h, b] : blobs_)
      if (h == hash) return;
    blobs_.push_back({hash, bytes});
    if (blobs_.size() > kKeptBlobs) blobs_.pop_front();
  }
  std::string blob(std::uint64_t hash) const {
    for (const auto& [h, bytes] : blobs_)
      if (h == hash) return bytes;
    return {};
  }

  // --- whether the view is the newest
  void call_roll() {
    if (!member() || !(acting_ || view_.members.front().node == s_.node) || now_ - rolled_at_ < timing().roll_call) return;
    rolled_at_ = now_;
    const std::uint32_t nonce = new_nonce();
    pending_[nonce] = {now_, kNone, kNone, 0};
    for (const Member& m : view_.members)
      if (!is_me(m.node)) send(m.node, Probe{nonce, false, true, take_news()});
    count_roll();
  }
  void count_roll() {
    std::vector<TenthsOfMs> at;
    for (const Member& m : view_.members) at.push_back(is_me(m.node) ? (holds() ? now_ : INT64_MIN / 2) : nodes_[m.node].roll_heard);
    const std::size_t most = view_.majority();
    if (at.size() < most) return;
    std::nth_element(at.begin(), at.begin() + static_cast<std::ptrdiff_t>(most - 1), at.end(), std::greater<>());
    newest_at_ = std::max(newest_at_, at[most - 1]);
  }

  // --- coming in, and coming together again
  std::uint32_t cookie_for(Index n, TenthsOfMs back) const {
    const std::uint64_t words[] = {secret_, n, static_cast<std::uint64_t>(now_ / kCookie - back)};
    return static_cast<std::uint32_t>(XXH64(words, sizeof words, 1)) | 1;
  }
  // The lowest of those that have lost the majority, by their own word: a greeting, or an answer to one. Named to all that
  // greet this node, it is known everywhere after a few rounds. By greetings alone only those heard of the lowest that it
  // happened to greet itself, and a thousand nodes took half a minute to come together, 1,200 took more than one.
  Index lead() const {
    for (Index n = 0; n < s_.roster; ++n)
      if (is_me(n) || now_ - std::max(nodes_[n].lost_at, nodes_[n].lost_said) < kRecent) return n;
    return s_.node;
  }
  void seek() {
    if (member() && !majority_lost()) return;
    if (now_ < back_from_ && !majority_lost()) return;
    if (majority_lost()) form_if_due();
    if (now_ - sought_at_ < kSeekEvery || s_.roster < 2) return;
    sought_at_ = now_;
    std::set<Index> to;
    for (int i = 0; i < 2; ++i) to.insert(draw(s_.roster));
    int doors = 0;
    for (Index n = 0; n < s_.roster; ++n) {
      const Node& p = nodes_[n];
      if (now_ - p.cookie_at < kRecent && doors < 4) to.insert(n), ++doors;
      if (now_ - p.led_at < kRecent) { to.insert(n); break; }
    }
    const bool lost = majority_lost();
    for (Index n : to)
      send(n, Hello{now_ - nodes_[n].cookie_at < kCookie ? nodes_[n].cookie : 0, lost, s_.name, s_.zone});
  }
  void form_if_due() {
    if (attempt_ && !attempt_->forms) attempt_.reset();  // nobody is left to accept it
    if (attempt_ || now_ < backoff_until_ || now_ < sane_from_ - timing().suspect || lead() != s_.node) return;
    std::vector<Member> together{{s_.node, life_, s_.name, s_.zone}};
    for (Index n = 0; n < s_.roster; ++n)
      if (!is_me(n) && now_ - nodes_[n].lost_at < kRecent) together.push_back({n, nodes_[n].life, nodes_[n].name, nodes_[n].zone});
    if (together.size() < wide() / 2 + 1) { gathered_ = 0; return; }
    if (together.size() != gathered_) gathered_ = together.size(), gathered_at_ = now_, gather_since_ = std::min(gather_since_, now_);
    if (gathered_ < s_.roster && now_ - gathered_at_ < 2 * kQuietJoin && now_ - gather_since_ < kGather) return;
    gathered_ = 0, gather_since_ = INT64_MAX;
    form(std::move(together));
  }
  void form(std::vector<Member> together) {
    std::sort(together.begin(), together.end(), [](const Member& a, const Member& b) { return a.node < b.node; });
    // Later than any life that takes part, than what this node holds, and than what it made before. No further ahead of
    // the time than it must be: another process of a name has to find itself later than what the one before it accepted.
    std::uint64_t newest_life = life_;
    for (const Member& m : together) newest_life = std::max(newest_life, m.life);
    const auto since_2024 = [](std::uint64_t ms) { return ms > kEpochMs ? ms - kEpochMs : 0; };
    const std::uint64_t by_now = since_2024(s_.life) + static_cast<std::uint64_t>((now_ - begun_) / 10);
    formed_at_ = std::max({since_2024(newest_life) + 1, by_now, formed_at(std::max(view_.number, floor_)) + 1, formed_at_ + 1});
    Attempt a;
    a.forms = true;
    a.number = a.ballot = formed_number(formed_at_, s_.node);
    set_blob(a, members::encode(Change{0, a.number, wide(), {}, {}, together}));
    for (const Member& m : together) a.targets.push_back(m.node);
    a.since = a.sent = now_;
    attempt_ = std::move(a);
    ask_targets();
  }

  void resume() {
    try {
      const auto handle = unpack(s_.resumed, s_.resumed.size());
      const Fields f(handle.get(), 10);
      std::string accepted, seen;
      f.get(0, life_), f.get(1, refuted_), f.get(2, nonce_), f.get(3, statement_id_), f.get(4, floor_), f.get(5, promised_);
      f.get(6, accepted_), f.get(7, accepted), f.get(8, seen), f.get(9, floor_hash_);
      nonce_ += 100000, statement_id_ += 1000;  // over what was said while this was written
      const std::uint64_t floor = floor_, floor_hash = floor_hash_, promised = promised_, accepted_ballot = accepted_;
      if (!seen.empty()) install_bytes(seen);
      floor_ = floor, floor_hash_ = floor_hash, promised_ = promised, accepted_ = accepted_ballot;
      offered_first_ = true;  // it may have
      accepted_last_ = now_;
      if (accepted_ != 0) accepted_hash_ = hash_of(accepted), accepted_at_ = now_, keep_blob(accepted_hash_, accepted);
      out_.notes.clear();
    } catch (const std::exception&) {  // half a file: another life then
      life_ = s_.life, refuted_ = 0, view_ = {}, floor_ = floor_hash_ = promised_ = accepted_ = 0;
    }
  }

  struct Viewing {
    Index from = kNone;
    std::uint64_t hash = 0;
    TenthsOfMs asked = 0;
    int tries = 0;
  };
  struct Offering {
    Index from;
    Offer offer;
  };

  Setup s_;
  std::knuth_b random_;
  Parts parts_;
  const TenthsOfMs begun_;
  TenthsOfMs last_pulse_, now_;
  std::uint64_t life_, secret_ = 0;
  std::uint32_t refuted_ = 0, nonce_ = 0, statement_id_ = 0;
  Output out_;
  std::vector<Node> nodes_;
  View view_;
  std::shared_ptr<Rings> rings_;
  std::uint32_t rings_for_ = 0;
  std::vector<std::vector<Index>> watchers_;  // by place in the view
  std::map<Index, Watched> watched_;
  std::map<std::uint32_t, Pending> pending_;
  std::deque<Rumour> rumours_;
  std::map<Index, Standing> standing_;                      // what this node says
  std::map<Index, std::map<Index, Said>> tally_, vouched_;  // what was said to it: of whom, by whom
  std::map<std::pair<Index, Index>, std::uint32_t> last_said_;
  std::optional<Attempt> attempt_;
  std::optional<Offering> offer_;
  std::map<std::uint64_t, Assembly> assembled_;
  Viewing viewing_;
  std::deque<std::pair<std::uint64_t, std::string>> blobs_;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> history_;  // base and hash of what was installed
  std::uint64_t promised_ = 0, accepted_ = 0, accepted_hash_ = 0, round_ = 0, floor_ = 0, floor_hash_ = 0, formed_at_ = 0;
  TenthsOfMs newest_at_ = INT64_MIN / 2;  // as of then no newer view had been agreed on
  TenthsOfMs installed_at_ = INT64_MIN / 2, accepted_at_ = 0, accepted_last_ = 0, refuted_at_ = INT64_MIN / 2, rolled_at_ = INT64_MIN / 2;
  TenthsOfMs said_at_ = INT64_MIN / 2, due_since_ = INT64_MAX, backoff_until_ = 0, sane_from_ = 0, sought_at_ = INT64_MIN / 2;
  TenthsOfMs unsettled_at_ = INT64_MIN / 2, gathered_at_ = 0, gather_since_ = INT64_MAX, back_from_ = 0, back_wait_ = 0, joined_at_ = 0;
  std::size_t gathered_ = 0;
  int strain_ = 0;  // how far this node doubts itself
  bool leaving_ = false, left_heard_ = false, offered_first_ = false, acting_ = false, had_majority_ = false, alone_ = false, roster_ordered_ = false;
};

Engine::Engine(const Setup& setup, TenthsOfMs now) : impl_(std::make_unique<Impl>(setup, now)) {}
Engine::~Engine() = default;
Engine::Engine(Engine&&) noexcept = default;
Engine::Engine(const Engine& other) : impl_(std::make_unique<Impl>(*other.impl_)) {}
const Output& Engine::decide(TenthsOfMs now, const MemberEvent& event) { return impl_->decide(now, event); }
const View& Engine::view() const { return impl_->view(); }
Status Engine::status(TenthsOfMs now) const { return impl_->status(now); }
double Engine::part(TenthsOfMs now) const { return impl_->part(now); }
bool Engine::accuses_any() const { return impl_->accuses_any(); }
std::uint64_t Engine::agreeing() const { return impl_->agreeing(); }
std::uint64_t Engine::stands_by() const { return impl_->stands_by(); }
std::string Engine::snapshot() const { return impl_->snapshot(); }

}  // namespace troutstage::members
