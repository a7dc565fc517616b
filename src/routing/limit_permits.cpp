/**
 * @file limit_permits.cpp
 * Permits accumulate at the rate of the limit, up to a bound.
 */
#include "routing/limit_permits.h"

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

/// Maximum number of upstreams with permits; the one that was unused for
/// longest is dropped.
constexpr std::size_t MaxBuckets = 4096;
constexpr std::size_t MaxAccounts = 4096;
/// Least rate of permits, requests/s: an upstream that takes nothing could not
/// show the end of its limit.
constexpr double MinPermitsPerS = 0.25;
/// Permits that can accumulate: a number, and a time at the rate of the limit.
constexpr double MinAccumulated = 2;
constexpr double AccumulationSeconds = 0.5;
/// Requests in a LimitWindow that all VMs together send without permits while
/// the VM in charge does not answer: a number, and a time at the rate of the
/// limit.
constexpr double OwnShareSum = 1;
constexpr double OwnShareSeconds = 1.5;
/// An ask without an answer in this time is repeated.
constexpr Duration AnswerTimeout = milliseconds(60);
/// Unanswered asks after which the own share applies, and for how long.
constexpr int MaxUnanswered = 2;
constexpr Duration OwnShareDuration = milliseconds(1000);
constexpr double MicrosPerSecond = 1e6;

Duration toDuration(double s) {
  return Duration(static_cast<Duration::rep>(s * MicrosPerSecond));
}

/// Drops the entry with the earliest time if @p entries is full.
template <class Map, class Project>
void makeRoom(Map &entries, std::size_t limit, Project time) {
  if (entries.size() >= limit)
    entries.erase(std::ranges::min_element(
        entries, {}, [&](const auto &entry) { return time(entry.second); }));
}

} // namespace

PermitAnswer PermitIssuer::issue(const UpstreamProcess &process, double perS,
                                 Time now) {
  const double rate = std::max(perS, MinPermitsPerS);
  auto it = Buckets.find(process.Id);
  if (it == Buckets.end() || it->second.StartedAtMs != process.StartedAtMs) {
    // Another VM may have been in charge until now, so there is none at first.
    makeRoom(Buckets, MaxBuckets,
             [](const Bucket &bucket) { return bucket.FilledAt; });
    it = Buckets
             .insert_or_assign(process.Id, Bucket{process.StartedAtMs, 0, now})
             .first;
  }
  Bucket &bucket = it->second;
  const double passed =
      std::chrono::duration<double>(std::max(now - bucket.FilledAt, Duration()))
          .count();
  bucket.Permits = std::min(bucket.Permits + passed * rate,
                            MinAccumulated + AccumulationSeconds * rate);
  bucket.FilledAt = now;
  if (bucket.Permits < 1)
    return {false, toDuration((1 - bucket.Permits) / rate)};
  bucket.Permits -= 1;
  return {true, {}};
}

const VmId &vmInCharge(const UpstreamId &upstream,
                       const std::vector<VmId> &vms) {
  return *std::ranges::max_element(
      vms, {}, [&](const VmId &vm) { return rendezvousHash(upstream, vm); });
}

PermitHolder::Account &PermitHolder::account(const UpstreamProcess &process) {
  const auto it = Accounts.find(process.Id);
  if (it != Accounts.end() && it->second.StartedAtMs == process.StartedAtMs)
    return it->second;
  makeRoom(Accounts, MaxAccounts,
           [](const Account &account) { return account.AnswerDueAt; });
  Account fresh;
  fresh.StartedAtMs = process.StartedAtMs;
  return Accounts.insert_or_assign(process.Id, fresh).first->second;
}

PermitHolder::State PermitHolder::state(const UpstreamProcess &process,
                                        double perS,
                                        const std::vector<VmId> &vms,
                                        Time now) {
  Account &account = this->account(process);
  if (account.HasPermit && now >= account.PermitUntil)
    account.HasPermit = false;
  if (account.HasPermit)
    return State::Available;
  if (account.AnswerDueAt != Time() && now >= account.AnswerDueAt) {
    account.AnswerDueAt = Time();
    ++UnansweredCount;
    if (++account.Unanswered >= MaxUnanswered) {
      account.Unanswered = 0;
      account.OwnShareUntil = now + OwnShareDuration;
    }
  }
  if (now < account.OwnShareUntil) {
    const int share = shareOfVm(
        static_cast<int>(std::floor(OwnShareSum + OwnShareSeconds * perS)),
        process.Id, Self, vms);
    if (account.Sends.count(now) < share)
      return State::Available;
    account.DeniedUntil = std::max(account.DeniedUntil, account.OwnShareUntil);
    return State::Denied;
  }
  if (account.AnswerDueAt != Time())
    return State::Asked;
  return now < account.DeniedUntil ? State::Denied : State::Ask;
}

void PermitHolder::onAsked(const UpstreamProcess &process, Time now) {
  account(process).AnswerDueAt = now + AnswerTimeout;
}

void PermitHolder::onAnswer(const UpstreamProcess &process,
                            const PermitAnswer &answer, Time now) {
  Account &account = this->account(process);
  if (account.AnswerDueAt == Time())
    return; // too late
  account.AnswerDueAt = Time();
  account.Unanswered = 0;
  if (answer.IsGranted) {
    account.HasPermit = true;
    account.PermitUntil = now + PermitLifetime;
    return;
  }
  ++DeniedCount;
  account.DeniedUntil =
      now + std::clamp(answer.RetryAfter, Duration(), LimitWindow);
}

void PermitHolder::use(const UpstreamProcess &process, Time now) {
  Account &account = this->account(process);
  account.HasPermit = false;
  account.Sends.add(now);
}

Time PermitHolder::nextTryAt(const UpstreamId &id) const {
  const auto it = Accounts.find(id);
  return it == Accounts.end() ? Time() : it->second.DeniedUntil;
}

int PermitHolder::recentSends(Time now) {
  int sum = 0;
  for (auto &[id, account] : Accounts)
    sum += account.Sends.count(now);
  return sum;
}

} // namespace waxwing
