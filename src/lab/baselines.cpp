#include "lab/baselines.h"

#include <algorithm>

namespace troutstage::lab {

using namespace members;

namespace {

constexpr TenthsOfMs kPeriod = 10000, kTooLong = 30000, kAnswer = 3000;
constexpr int kHelpers = 3;

}  // namespace

Send Baseline::message(Index to, Body body) const {
  Message m;
  m.header = {0, self_, life_, 0, 0, kNoAge};
  m.body = std::move(body);
  return {to, members::encode(m), m.body.index()};
}

Heartbeats::Heartbeats(Index self, std::uint32_t nodes, std::uint64_t life, TenthsOfMs now)
    : Baseline(self, nodes, life), heard_(nodes, now), next_(now + static_cast<TenthsOfMs>(self * 7919U % kPeriod)) {}

void Heartbeats::step(TenthsOfMs now, const MemberEvent& event, std::vector<Send>& out) {
  if (const Came* came = std::get_if<Came>(&event)) {
    heard_[came->from] = now;
    listed_[came->from] = 1;
    return;
  }
  if (now >= next_) {
    next_ = now + kPeriod;
    for (Index n = 0; n < listed_.size(); ++n)
      if (n != self_) out.push_back(message(n, Probe{}));
  }
  for (Index n = 0; n < listed_.size(); ++n)
    if (n != self_ && listed_[n] && now - heard_[n] > kTooLong) listed_[n] = 0, removed_.push_back(n);
}

PlainSwim::PlainSwim(Index self, std::uint32_t nodes, std::uint64_t life, std::uint64_t seed, TenthsOfMs now)
    : Baseline(self, nodes, life), random_(static_cast<std::uint_fast64_t>(seed)), lives_(nodes, 0), refuted_(nodes, 0),
      next_(now + static_cast<TenthsOfMs>(random_() % kPeriod)) {
  lives_[self] = life;
}

Index PlainSwim::draw() { return static_cast<Index>(random_() % listed_.size()); }

void PlainSwim::spread(const News& news) {
  std::erase_if(rumours_, [&](const auto& r) { return r.first.node == news.node; });
  rumours_.insert(rumours_.begin(), {news, 0});
}

std::vector<News> PlainSwim::news() {
  int most = 6;
  for (std::size_t n = listed_.size(); n > 1; n /= 2) ++most;
  std::vector<News> taken;
  for (auto& [one, told] : rumours_) {
    if (taken.size() == 3) break;
    taken.push_back(one);
    ++told;
  }
  std::erase_if(rumours_, [&](const auto& r) { return r.second >= most; });
  return taken;
}

void PlainSwim::heard(const std::vector<News>& all) {
  for (const News& n : all) {
    if (n.node >= listed_.size() || n.life < lives_[n.node] || (n.life == lives_[n.node] && n.refuted < refuted_[n.node])) continue;
    if (n.node == self_) {
      if (n.what == News::What::suspect) spread({News::What::well, self_, life_, refuted_[self_] = n.refuted + 1, self_});
      continue;
    }
    const bool is_news = n.life > lives_[n.node] || n.refuted > refuted_[n.node] || (n.what == News::What::suspect && listed_[n.node]);
    if (!is_news) continue;
    lives_[n.node] = n.life, refuted_[n.node] = n.refuted;
    listed_[n.node] = n.what == News::What::well;
    spread(n);
  }
}

void PlainSwim::step(TenthsOfMs now, const MemberEvent& event, std::vector<Send>& out) {
  if (const Came* came = std::get_if<Came>(&event)) {
    auto read = decode(came->bytes, 0);
    Message* m = std::get_if<Message>(&read);
    if (m == nullptr) return;
    const Index from = m->header.from;
    if (m->header.life > lives_[from]) lives_[from] = m->header.life, refuted_[from] = 0, listed_[from] = 1;
    if (const Probe* probe = std::get_if<Probe>(&m->body)) {
      heard(probe->news);
      out.push_back(message(from, Ack{probe->nonce, self_, false, news()}));
    } else if (const Ask* ask = std::get_if<Ask>(&m->body)) {
      asked_[++nonce_] = {from, ask->nonce};
      if (asked_.size() > 100) asked_.erase(asked_.begin());
      out.push_back(message(ask->whom, Probe{nonce_, false, false, {}}));
    } else if (const Ack* ack = std::get_if<Ack>(&m->body)) {
      heard(ack->news);
      if (const auto at = asked_.find(ack->nonce); at != asked_.end() && ack->about == from) {
        out.push_back(message(at->second.first, Ack{at->second.second, from, false, {}}));
        asked_.erase(at);
      } else if (probing_ == ack->about) {
        probing_ = kNone;
      }
    }
    return;
  }
  if (probing_ != kNone && !indirect_ && now - sent_ >= kAnswer) {
    indirect_ = true;
    for (int i = 0; i < kHelpers; ++i)
      if (const Index helper = draw(); helper != self_ && helper != probing_ && listed_[helper]) out.push_back(message(helper, Ask{nonce_, probing_}));
  }
  if (now < next_) return;
  next_ += kPeriod;
  if (probing_ != kNone && listed_[probing_]) {
    listed_[probing_] = 0;
    removed_.push_back(probing_);
    spread({News::What::suspect, probing_, lives_[probing_], refuted_[probing_], self_});
  }
  probing_ = kNone;
  for (int tries = 0; tries < 100 && probing_ == kNone; ++tries)
    if (const Index n = draw(); n != self_ && listed_[n]) probing_ = n;
  if (probing_ == kNone) return;
  sent_ = now, indirect_ = false;
  out.push_back(message(probing_, Probe{++nonce_, false, false, news()}));
}

}  // namespace troutstage::lab
