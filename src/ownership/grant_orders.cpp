/**
 * @file grant_orders.cpp
 * Grant orders to upstreams and their responses.
 */
#include "ownership/grant_orders_base.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Each member uses only sequence numbers that equal its index modulo this
/// step, so that two members never use the same stamp for different sets.
constexpr std::uint64_t SequenceStep = 16;
/// After a rejection the next order follows within the heartbeat period divided
/// by this.
constexpr int RejectedOrderRetryDivisor = 4;

} // namespace

void GrantOrders::define(const std::vector<UpstreamDefinition> &definitions,
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

void GrantOrders::begin(const OwnershipRecord &record, std::size_t member,
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
    upstream.MinRecord = record.Rev;
    upstream.NextSend = now;
  }
  addOwners(record, now);
}

void GrantOrders::addOwners(const OwnershipRecord &record, Time now) {
  const auto add = [&](const UpstreamId &owner) {
    if (owner.Value.empty() || Upstreams.contains(owner))
      return;
    UpstreamOrders &upstream = Upstreams[owner];
    upstream.Definition = {owner, DomainId(), true, false};
    upstream.AnsweredAt = now;
    upstream.MinRecord = record.Rev;
  };
  for (const UnitOwner &shard : record.Shards)
    add(shard.Owner);
  for (const auto &[key, owner] : record.SplitKeys)
    add(owner.Owner);
}

void GrantOrders::grant(const UpstreamId &to, GrantSet set, Time now) {
  const auto it = Upstreams.find(to);
  if (it == Upstreams.end() || it->second.Granted == set)
    return;
  it->second.Granted = std::move(set);
  it->second.NextSend = now;
}

void GrantOrders::requireRevision(const UpstreamId &to, Revision record,
                                  Time now) {
  const auto it = Upstreams.find(to);
  if (it == Upstreams.end() || it->second.MinRecord >= record)
    return;
  it->second.MinRecord = record;
  it->second.NextSend = now;
}

const GrantSet *GrantOrders::processAnswer(const GrantAnswer &answer,
                                           Time now) {
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
    upstream.NextSend =
        std::min(upstream.NextSend,
                 now + Parameters.Heartbeat / RejectedOrderRetryDivisor);
  if (answer.Held > upstream.SentStamp)
    upstream.SentStamp.Sequence =
        std::max(upstream.SentStamp.Sequence, answer.Held.Sequence);
  return nullptr;
}

void GrantOrders::sendIfDue(Revision record, bool isConfirmed, Time now,
                            std::vector<OwnershipAction> &actions) {
  for (auto &[id, upstream] : Upstreams)
    if (now >= upstream.NextSend)
      send(upstream, record, isConfirmed, now, actions);
}

void GrantOrders::sendIfDue(const UpstreamId &to, Revision record,
                            bool isConfirmed, Time now,
                            std::vector<OwnershipAction> &actions) {
  const auto it = Upstreams.find(to);
  if (it != Upstreams.end() && now >= it->second.NextSend)
    send(it->second, record, isConfirmed, now, actions);
}

void GrantOrders::send(UpstreamOrders &upstream, Revision record,
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
  // An extension order names no grants, only their stamp. An upstream that does
  // not check stamps might extend other grants, so that it gets all in full.
  const bool isExtension = upstream.IsAcknowledged &&
                           upstream.Definition.ChecksOrders &&
                           upstream.Sent == upstream.Granted &&
                           upstream.SentStamp.Record >= upstream.MinRecord;
  if (!isExtension) {
    order.Stamp = nextStamp(upstream, record);
    order.Set = upstream.Granted;
    upstream.SentStamp = order.Stamp;
    upstream.Sent = upstream.Granted;
    upstream.IsAcknowledged = false;
  }
  upstream.RightsEnd = std::max(
      upstream.RightsEnd,
      upstream.AnsweredAt + Parameters.withMaxDrift(Parameters.GrantTerm));
  actions.emplace_back(SendOrder{upstream.Definition.Id, std::move(order)});
}

GrantStamp GrantOrders::nextStamp(const UpstreamOrders &upstream,
                                  Revision record) const {
  const std::uint64_t step = upstream.SentStamp.Sequence / SequenceStep + 1;
  return {record, step * SequenceStep + Member};
}

const UpstreamOrders *GrantOrders::find(const UpstreamId &id) const {
  const auto it = Upstreams.find(id);
  return it == Upstreams.end() ? nullptr : &it->second;
}

bool GrantOrders::isAllAcknowledged(Time now) const {
  return std::ranges::all_of(Upstreams, [&](const auto &entry) {
    const UpstreamOrders &upstream = entry.second;
    return !isAlive(upstream, now) ||
           (upstream.IsAcknowledged && upstream.Sent == upstream.Granted);
  });
}

Time GrantOrders::rightsEnd(const UpstreamId &id) const {
  const UpstreamOrders *upstream = find(id);
  return upstream == nullptr ? Time() : upstream->RightsEnd;
}

} // namespace waxwing
