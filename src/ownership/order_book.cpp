/**
 * @file order_book.cpp
 * Renewals, releases and what upstreams say to them.
 */
#include "ownership/order_book_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Members of one record draw their sequence numbers from disjoint classes,
/// so that two renewers never use one stamp for two sets.
constexpr std::uint64_t SequenceStep = 16;
/// A refused order is repeated after a heartbeat divided by this.
constexpr int RefusedRetryDivisor = 4;

} // namespace

void OrderBook::define(const std::vector<UpstreamDefinition> &definitions,
                       Time now) {
  for (auto &[id, upstream] : Upstreams)
    upstream.Definition.IsLeaving = true;
  for (const UpstreamDefinition &definition : definitions) {
    const auto [it, isNew] = Upstreams.try_emplace(definition.Id);
    it->second.Definition = definition;
    if (isNew)
      it->second.AnsweredAt = now;
  }
}

void OrderBook::begin(const OwnershipRecord &record, std::size_t member,
                      bool isFirst, Time now) {
  Member = member;
  if (isFirst)
    BeganAt = now;
  for (auto &[id, upstream] : Upstreams) {
    upstream.HasReport = false;
    upstream.Granted = {};
    upstream.Sent = {};
    upstream.SentStamp = {};
    upstream.IsAcknowledged = false;
    upstream.LeastStamp = record.Rev;
    upstream.NextSend = now;
  }
  addOwners(record, now);
}

void OrderBook::addOwners(const OwnershipRecord &record, Time now) {
  const auto add = [&](const UpstreamId &owner) {
    if (owner.Value.empty() || Upstreams.contains(owner))
      return;
    UpstreamOrders &upstream = Upstreams[owner];
    upstream.Definition = {owner, DomainId(), true, false};
    upstream.AnsweredAt = now;
    upstream.LeastStamp = record.Rev;
  };
  for (const UnitOwner &shard : record.Shards)
    add(shard.Owner);
  for (const auto &[key, owner] : record.SplitKeys)
    add(owner.Owner);
}

void OrderBook::grant(const UpstreamId &to, GrantSet set, Time now) {
  const auto it = Upstreams.find(to);
  if (it == Upstreams.end() || it->second.Granted == set)
    return;
  it->second.Granted = std::move(set);
  it->second.NextSend = now;
}

void OrderBook::raiseStamp(const UpstreamId &to, Revision record, Time now) {
  const auto it = Upstreams.find(to);
  if (it == Upstreams.end() || it->second.LeastStamp >= record)
    return;
  it->second.LeastStamp = record;
  it->second.NextSend = now;
}

const GrantSet *OrderBook::take(const GrantAnswer &answer, Time now) {
  const auto it = Upstreams.find(answer.From);
  if (it == Upstreams.end())
    return nullptr;
  UpstreamOrders &upstream = it->second;
  const bool isSameProcess = upstream.Current == answer.Current;
  if (isSameProcess && answer.Reading <= upstream.Reading)
    return nullptr;
  if (!isSameProcess || !isAlive(upstream, now))
    upstream.AliveSince = now;
  if (!isSameProcess) {
    upstream.HasReport = false;
    upstream.IsAcknowledged = false;
    upstream.NextSend = now;
  }
  upstream.Current = answer.Current;
  upstream.Reading = answer.Reading;
  upstream.AnsweredAt = now;
  upstream.HeldRecord = answer.Held.Record;
  if (answer.Accepted)
    upstream.IsAcknowledged = answer.Held == upstream.SentStamp;
  else
    upstream.IsAcknowledged = false;
  if (answer.Set) {
    upstream.HasReport = true;
    upstream.NextSend = now;
    return &*answer.Set;
  }
  if (!answer.Accepted)
    upstream.NextSend = std::min(
        upstream.NextSend, now + Parameters.Heartbeat / RefusedRetryDivisor);
  if (answer.Held > upstream.SentStamp)
    upstream.SentStamp.Sequence =
        std::max(upstream.SentStamp.Sequence, answer.Held.Sequence);
  return nullptr;
}

void OrderBook::sendDue(Revision record, bool isConfirmed, Time now,
                        std::vector<OwnershipAction> &actions) {
  for (auto &[id, upstream] : Upstreams)
    if (now >= upstream.NextSend)
      send(upstream, record, isConfirmed, now, actions);
}

void OrderBook::sendDue(const UpstreamId &to, Revision record, bool isConfirmed,
                        Time now, std::vector<OwnershipAction> &actions) {
  const auto it = Upstreams.find(to);
  if (it != Upstreams.end() && now >= it->second.NextSend)
    send(it->second, record, isConfirmed, now, actions);
}

void OrderBook::send(UpstreamOrders &upstream, Revision record,
                     bool isConfirmed, Time now,
                     std::vector<OwnershipAction> &actions) {
  const bool isFresh = now < upstream.AnsweredAt + Parameters.GrantTerm;
  if (!upstream.Current || !upstream.HasReport || !isFresh) {
    actions.emplace_back(QueryUpstream{upstream.Definition.Id});
    upstream.NextSend = now + Parameters.renewalPeriod();
    return;
  }
  if (!isConfirmed)
    return;
  upstream.NextSend = now + Parameters.renewalPeriod();
  GrantOrder order{Service, upstream.SentStamp, *upstream.Current,
                   upstream.Reading + Parameters.GrantTerm, std::nullopt};
  // Only an upstream that checks stamps extends exactly the set meant.
  const bool isExtension = upstream.IsAcknowledged &&
                           upstream.Definition.ChecksOrders &&
                           upstream.Sent == upstream.Granted &&
                           upstream.SentStamp.Record >= upstream.LeastStamp;
  if (!isExtension) {
    order.Stamp = nextStamp(upstream, record);
    order.Set = upstream.Granted;
    upstream.SentStamp = order.Stamp;
    upstream.Sent = upstream.Granted;
    upstream.IsAcknowledged = false;
  }
  upstream.RightsEnd =
      std::max(upstream.RightsEnd,
               upstream.AnsweredAt + Parameters.covering(Parameters.GrantTerm));
  actions.emplace_back(SendOrder{upstream.Definition.Id, std::move(order)});
}

GrantStamp OrderBook::nextStamp(const UpstreamOrders &upstream,
                                Revision record) const {
  const std::uint64_t step = upstream.SentStamp.Sequence / SequenceStep + 1;
  return {record, step * SequenceStep + Member};
}

const UpstreamOrders *OrderBook::find(const UpstreamId &id) const {
  const auto it = Upstreams.find(id);
  return it == Upstreams.end() ? nullptr : &it->second;
}

bool OrderBook::isSettled(Time now) const {
  return std::ranges::all_of(Upstreams, [&](const auto &entry) {
    const UpstreamOrders &upstream = entry.second;
    return !isAlive(upstream, now) ||
           (upstream.IsAcknowledged && upstream.Sent == upstream.Granted);
  });
}

Time OrderBook::rightsEnd(const UpstreamId &id) const {
  const UpstreamOrders *upstream = find(id);
  return upstream == nullptr ? Time() : upstream->RightsEnd;
}

} // namespace waxwing
