/**
 * @file store_health.h
 * Tracks whether the platform's store responds to this VM. A failed call alone
 * says that one connection failed, not that the store was away.
 */
#ifndef WAXWING_NODE_STORE_HEALTH_H
#define WAXWING_NODE_STORE_HEALTH_H

#include "core/time_type.h"
#include "node/call_client.h"

#include <functional>
#include <optional>
#include <string_view>

namespace waxwing {

/// When the store responds to a call.
enum class StoreCallKind : std::uint8_t {
  Prompt,  ///< at once
  Waiting, ///< after a change; the store may end the call before
};

/// State of the store as this VM sees it.
enum class StoreState : std::uint8_t {
  Serving,
  Refusing, ///< it responds to this VM, but not usably
  Away,     ///< it may serve nobody, so that entries expire
};

/// A time in which the store answered calls without an outage.
struct StoreService {
  Time Since; ///< when it answered first
  Time Until; ///< begin of the last call that it answered
};

/// @return name of @p state in the log
std::string_view storeStateName(StoreState state);

/// Availability of the store, derived from the results of all calls.
class StoreHealth {
public:
  /// Records a call of kind Prompt.
  /// @param isUsable the store responded as expected
  void recordCall(const HttpCallResult &result, bool isUsable, Time now);
  /// Records a usable response.
  /// @param begunAt when its call was begun
  void recordAnswer(Time begunAt, Time now,
                    StoreCallKind kind = StoreCallKind::Prompt);
  /// Records a call without a usable response.
  /// @param why the reason, for the log
  void recordFailure(const HttpCallResult &result, StoreCallKind kind,
                     std::string_view why, Time now);

  /// Records that the store answers another VM that reads it for this one.
  /// @param recoveredAt end of the last outage noticed by that VM, which may
  ///   have lost only its own link; Time() if there was none
  void recordRelayedAnswer(Time answeredAt, Time recoveredAt, Time now);

  /// Records that the store answered other VMs during all of @p service. An
  /// outage that this VM noticed meanwhile was that of its own links.
  void recordPeerService(const StoreService &service, Time now);

  /// Records that the store was restored from an older copy, which ends an
  /// outage that this VM may not have noticed.
  void noteRestored(Time now);

  /// @return true if the store does not serve this VM
  bool isUnavailable() const { return State != StoreState::Serving; }
  StoreState state() const { return State; }
  /// @return time of the store's last response
  Time lastResponseAt() const { return LastResponseAt; }
  /// @return when the latest of the calls with a response was begun
  Time lastAnsweredCallAt() const { return LastAnsweredCallAt; }
  /// @return end of the store's last outage or restoration; Time() if there was
  ///   none
  Time recoveredAt() const { return std::max(RecoveredAt, RestoredAt); }
  /// @return duration of the last call of kind Prompt that was answered
  Duration lastRoundTrip() const { return LastRoundTrip; }
  /// @return the last time in which the store is known to have answered this VM
  ///   or others without an outage; nullopt if there is none
  std::optional<StoreService> knownService() const;
  /// @return number of calls that failed with their connection alone
  std::uint64_t lostCallCount() const { return LostCalls; }
  /// @return number of outages that this VM noticed
  std::uint64_t outageCount() const { return Outages; }
  /// @return number of those that were not the store's
  std::uint64_t ownOutageCount() const { return OwnOutages; }

  /// Called with false when the store becomes unavailable and with true when
  /// the store recovers.
  std::function<void(bool)> OnChange;
  /// Called when an outage proves to be that of this VM's links, so that
  /// recoveredAt() is that of an earlier one.
  std::function<void()> OnOutageWithdrawn;
  /// Called when a connection to the store has become silent while the store
  /// serves; other connections may be silent too.
  std::function<void()> OnConnectionSilent;

private:
  StoreState interpretFailure(const HttpCallResult &result, StoreCallKind kind);
  void setServing(Time now);
  /// Records the begin of an outage, or of one that continues another.
  void beginOutage(Time lastAnswerAt);
  void withdrawOwnOutage(Time now);

  StoreState State = StoreState::Serving;
  Time LastResponseAt;
  Time LastAnsweredCallAt;
  Duration LastRoundTrip{};
  Time RecoveredAt; ///< end of the last outage
  Time RestoredAt;  ///< last restoration
  /// The last outage, with those before it that followed each other closely:
  /// last answer before it, and the end of the outage before it. Time() if
  /// there was none.
  Time OutageBegunAt;
  Time RecoveredBefore;
  std::optional<StoreService> OwnService;  ///< of calls of this VM
  std::optional<StoreService> PeerService; ///< as last recorded
  /// First answer to an own call since another VM last relayed one; Time() if
  /// there was none, or if the store was away since.
  Time OwnAnswersSince;
  Time RelayedRecoveredAt; ///< as last stated by another VM
  Time RelayedAnswerAt;    ///< the same
  int EndedFirstCalls = 0; ///< on new connections, without an answer between
  std::uint64_t LostCalls = 0;
  std::uint64_t Outages = 0;
  std::uint64_t OwnOutages = 0;
};

} // namespace waxwing

#endif
