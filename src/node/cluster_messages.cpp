/**
 * @file cluster_messages.cpp
 * Datagrams between VMs: who may send what, and what each one changes.
 */
#include "node/cluster.h"

#include "node/node_log.h"

#include <algorithm>

namespace waxwing {

using boost::asio::ip::udp;

namespace {

/// Least time between lines on unexpected datagrams, of which a former reader
/// or leader may send many.
constexpr Duration UnexpectedLogInterval = seconds(1);
/// Longest time that a datagram takes, unless it replies to one whose time is
/// known.
constexpr Duration MaxTransitTime = milliseconds(500);

} // namespace

/// Visitor that dispatches a received datagram by its type.
struct Cluster::MessageHandler {
  Cluster &Parent;
  udp::endpoint Sender;

  void operator()(const PeerHello &hello) const {
    Parent.onHello(hello, Sender);
  }
  void operator()(const PeerReply &reply) const {
    if (isFromParent())
      Parent.onReply(reply, Sender);
  }
  void operator()(const PeerRangeUpdate &ranges) const {
    if (isFromParent())
      Parent.onRangeUpdate(ranges);
  }
  void operator()(const PeerStoreUpdate &update) const {
    if (Parent.isFromReader(Sender))
      Parent.onStoreUpdate(update);
  }
  void operator()(const PeerPermitAsk &ask) const {
    if (Parent.isKnownVm(Sender))
      Parent.sendTo(Sender, Parent.Limits.answer(ask, bootNow()));
  }
  void operator()(const PeerPermitAnswer &answer) const {
    if (Parent.isKnownVm(Sender))
      Parent.Limits.onAnswer(answer, bootNow());
  }
  void operator()(const PeerCrashNews &message) const {
    if (Parent.isKnownVm(Sender) || isFromParent())
      Parent.onCrashNews(message, Sender);
  }

private:
  /// Only the leader named in the store and the reader that it assigned may
  /// change what this VM knows.
  bool isFromParent() const {
    const bool isExpected =
        Parent.isFromReader(Sender) || Sender == toUdp(Parent.Leader.Address);
    if (!isExpected)
      Parent.noteUnexpected(Sender);
    return isExpected;
  }
};

void Cluster::noteUnexpected(const udp::endpoint &sender) {
  ++UnexpectedDatagrams;
  const Time now = bootNow();
  if (now < NextUnexpectedLogAt)
    return;
  NextUnexpectedLogAt = now + UnexpectedLogInterval;
  logLine(LogPriority::Routine, now, "datagram_unexpected",
          "sender={} count={}", sender.address().to_string(),
          UnexpectedDatagrams);
}

void Cluster::sendToPeers(const PeerMessage &message) {
  for (const auto &[vm, peer] : Peers)
    sendTo(peer.Address, message);
}

void Cluster::sendTo(const udp::endpoint &address, const PeerMessage &message) {
  Port.send(address, encodePeerMessage(message));
}

void Cluster::onDatagram(const std::string &bytes,
                         const udp::endpoint &sender) {
  const auto message = decodePeerMessage(bytes);
  if (message.ok())
    std::visit(MessageHandler{*this, sender}, *message);
  else
    logLine(LogPriority::Failure, bootNow(), "datagram_unreadable", "why={}",
            sanitizeForLog(std::string(message.status().message())));
}

void Cluster::onHello(const PeerHello &hello, const udp::endpoint &sender) {
  if (!isParent())
    return;
  const Time now = bootNow();
  Peers[hello.Sender.Vm] = {sender, now, hello.Sender, hello.HasLinks,
                            hello.Report};
  for (const auto &[service, keys] : hello.Keys)
    for (const std::uint16_t key : keys)
      reportKeyRequest(service, key);
  for (const UpstreamProcess &process : hello.Leaving)
    OnLeavingReported(process);
  Limits.onNotices(hello.Limits, now);
  noteNewestChanges(hello.NewestChanges, now);
  onStoreService(hello.StoreService, now - MaxTransitTime, now);
  // Before the report, so that the VM is complete when that arrives.
  if (Parent.isReader())
    sendMissingChanges(hello.StoreRevisions, sender);
  PeerReply reply = makeReply(now);
  reply.HelloSentAtUs = hello.SentAtUs;
  if (hello.ListHash != hashVmList(List))
    reply.List = List;
  if (isLeader() && now >= NextPlanAt - PlanInterval && Plan.size() > 0)
    reply.Assignment = assignmentFor(hello.Sender);
  sendTo(sender, reply);
  if (hello.CrashDigest && *hello.CrashDigest != Crashes.digest(now))
    sendTo(sender, PeerCrashNews{Crashes.news(now), true});
  for (const auto &[service, revision] : RangeMaps.revisions()) {
    const auto known = hello.MapRevisions.find(service);
    if (revision != 0 &&
        (known == hello.MapRevisions.end() || known->second < revision))
      for (const PeerRangeUpdate &part : RangeMapReplica::buildRangeUpdates(
               service, nullptr, *RangeMaps.find(service)))
        sendTo(sender, part);
  }
}

PeerReply Cluster::makeReply(Time now) const {
  PeerReply reply;
  reply.Leader = Leader;
  reply.Limits = Upstreams.limits().newest(MaxReportedLimits, now);
  reply.NewestChanges = NewestChanges;
  reply.StoreService = describeStoreService(now);
  const bool isCurrent = std::ranges::all_of(Feeds, &StoreFeed::isCurrent) &&
                         !Health.isUnavailable();
  if (!Parent.isReader() || !isCurrent)
    return reply;
  reply.Store.emplace();
  reply.Store->Age = now - completeAt();
  if (Health.recoveredAt() != Time())
    reply.Store->RecoveredAge = now - Health.recoveredAt();
  std::ranges::transform(
      Feeds, reply.Store->Revisions.begin(),
      [](const StoreFeed *feed) { return feed->revision(); });
  return reply;
}

std::optional<StoreServiceReport>
Cluster::describeStoreService(Time now) const {
  const auto service = Health.knownService();
  if (!service)
    return std::nullopt;
  return StoreServiceReport{now - service->Since, now - service->Until};
}

/// The report was sent at an unknown time from @p sentAt on, so that the time
/// which it surely means is shorter. Times that grow while they are passed on
/// would span outages in the end.
void Cluster::onStoreService(const std::optional<StoreServiceReport> &service,
                             Time sentAt, Time now) {
  if (!service)
    return;
  const StoreService certain{now - service->SinceAge,
                             sentAt - service->UntilAge};
  if (certain.Since <= certain.Until)
    Health.recordPeerService(certain, now);
}

void Cluster::sendMissingChanges(const FeedRevisions &known,
                                 const udp::endpoint &address) {
  for (std::size_t n = 0; n < FeedCount; ++n) {
    // A VM that has loaded nothing yet does so from the store.
    if (known[n] == 0 || known[n] >= Histories[n].revision())
      continue;
    const auto batches = Histories[n].since(known[n]);
    if (!batches)
      continue; // that VM will read the store, since its state is too old
    for (const ChangeBatch &batch : *batches)
      sendTo(address, PeerStoreUpdate{static_cast<FeedId>(n), batch});
  }
}

void Cluster::onStoreBatch(FeedId feed, const ChangeBatch &batch) {
  if (!Parent.isReader())
    return;
  if (epochOf(batch.Base) != epochOf(batch.To)) {
    // Followers load a restored store themselves.
    Histories[static_cast<std::size_t>(feed)].reset(batch.To);
    return;
  }
  for (const ChangeBatch &part :
       Histories[static_cast<std::size_t>(feed)].add(batch))
    if (!part.Changes.empty() && estimateSize(part) <= MaxBatchBytes)
      sendToPeers(PeerStoreUpdate{feed, part});
}

bool Cluster::isFromReader(const udp::endpoint &sender) const {
  return Parent.hasReader() && sender == toUdp(Parent.current().Address);
}

void Cluster::onStoreUpdate(const PeerStoreUpdate &update) {
  StoreFeed &feed = *Feeds[static_cast<std::size_t>(update.Feed)];
  const Time now = bootNow();
  if (!feed.applyBatch(update.Batch) && now >= EarliestExtraHelloAt)
    sendHello(now); // an earlier update was lost; request it again
}

void Cluster::onStoreReport(const StoreReport &report, Time sentAt, Time now) {
  const StoreEpoch epoch = epochOf(*std::ranges::max_element(report.Revisions));
  Store.noteEpoch(epoch, now);
  if (epoch < Store.epoch())
    return; // the reader does not know of the restoration yet
  Health.recordRelayedAnswer(
      sentAt - report.Age,
      report.RecoveredAge ? now - *report.RecoveredAge : Time(), now);
  bool isComplete = true;
  for (std::size_t n = 0; n < FeedCount; ++n)
    isComplete &=
        Feeds[n]->isLoaded() && Feeds[n]->revision() >= report.Revisions[n];
  Freshness.onReport(report.Age, isComplete, sentAt);
  if (isComplete)
    for (StoreFeed *feed : Feeds)
      feed->noteCompleteAt(sentAt - report.Age);
  followReader(now);
}

void Cluster::onAssignment(const ReaderAssignment &assignment, Time now) {
  if (!Parent.assign(assignment, now))
    return;
  Peers.clear();
  for (std::size_t n = 0; n < FeedCount; ++n)
    Histories[n].reset(Feeds[n]->revision());
  logLine(LogPriority::StateChange, now, "reader_assigned",
          "is_reader={} reader={} term={}", assignment.IsReader,
          assignment.Reader.Value.empty()
              ? "-"
              : sanitizeForLog(assignment.Reader.Value),
          counterOf(Leader.Term));
  OnAssigned();
  followReader(now);
  NextHelloAt = now;
}

void Cluster::onReply(const PeerReply &reply, const udp::endpoint &sender) {
  const bool isFromOwnReader = isFromReader(sender);
  if (isLeader() || (reply.Leader.Term < Leader.Term && !isFromOwnReader))
    return;
  const Time now = bootNow();
  // The reply was sent later than the hello, so ages count from there.
  const Time sentAt = reply.HelloSentAtUs > 0
                          ? Time(Duration(reply.HelloSentAtUs))
                          : now - MaxTransitTime;
  Limits.onNotices(reply.Limits, now);
  noteNewestChanges(reply.NewestChanges, now);
  onStoreService(reply.StoreService, std::min(sentAt, now), now);
  if (reply.Leader.Term != 0)
    Store.noteEpoch(epochOf(reply.Leader.Term), now);
  if (isFromOwnReader) {
    Parent.onReaderReply(now);
    if (reply.Store)
      onStoreReport(*reply.Store, std::min(sentAt, now), now);
    if (reply.Leader.Term > std::max(Leader.Term, LastEndedTerm))
      setLeader(reply.Leader);
    if (reply.Leader.Term < Leader.Term)
      return;
  }
  LastLeaderMessageAt = now;
  if (reply.List)
    setVmList(*reply.List);
  if (reply.IsLeaving)
    onLeaderEnded(reply.Leader.Term);
  else if (reply.Assignment && reply.Leader.Term == Leader.Term)
    onAssignment(*reply.Assignment, now);
}

void Cluster::onRangeUpdate(const PeerRangeUpdate &ranges) {
  if (isLeader())
    return;
  const RangeMap *known = RangeMaps.find(ranges.Service);
  const RangeMap before = known == nullptr ? RangeMap() : *known;
  if (RangeMaps.applyRangeMap(ranges)) {
    if (Parent.isReader())
      for (const PeerRangeUpdate &part : RangeMapReplica::buildRangeUpdates(
               ranges.Service, &before, *RangeMaps.find(ranges.Service)))
        sendToPeers(part);

    logLine(LogPriority::Routine, bootNow(), "ranges",
            "service={} revision={} base={} rows={}", ranges.Service.Value,
            counterOf(ranges.Revision), counterOf(ranges.Base),
            ranges.Rows.size());
    OnRangeMapUpdate(ranges.Service, *RangeMaps.find(ranges.Service));
  } else if (const RangeMap *map = RangeMaps.find(ranges.Service);
             ranges.Base != 0 &&
             (map == nullptr || map->Revision < ranges.Base)) {
    if (bootNow() >= EarliestExtraHelloAt)
      sendHello(bootNow()); // an earlier update was lost; request it again
  }
}

} // namespace waxwing
