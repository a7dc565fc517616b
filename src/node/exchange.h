/**
 * @file exchange.h
 * One request of a caller, from its head to the last byte of its answer.
 */
#ifndef WAXWING_NODE_EXCHANGE_H
#define WAXWING_NODE_EXCHANGE_H

#include "core/verdict_type.h"
#include "headers.h"
#include "routing/route_table.h"

#include <functional>
#include <memory>
#include <set>

namespace waxwing {

class Attempt;

/// Bytes of an answer on their way to the caller.
struct AnswerBuffer {
  std::string Bytes;      ///< not yet taken by the caller's connection
  bool IsStarted = false; ///< a byte was given out; no other answer any more
  bool IsWhole = false;   ///< nothing more will come
  bool IsBroken = false;  ///< the connection must end without completing it
  bool MustClose = false; ///< the connection ends behind the answer
};

struct Exchange {
  http::RequestHead Head;
  platform::RequestMetadata Meta;
  std::string Body;          ///< received and not yet sent on
  bool IsBodyWhole = false;  ///< all of it was received
  bool IsBodySentOn = false; ///< part of Body was dropped after sending it on

  Time ArrivedAt;        ///< head complete
  Time CallerDeadlineAt; ///< the caller leaves then
  Time TimeoutAt;        ///< final answer due: route's time-out or deadline
  std::shared_ptr<const RouteTable> Config; ///< version that it began with
  const Route *Matched = nullptr;           ///< in Config
  ServiceId Service;

  std::set<UpstreamId> Tried;
  int Sends = 0;          ///< times that it reached an upstream
  int RunSends = 0;       ///< of these, without proof that it has not run
  bool IsWaiting = false; ///< stands in a queue
  Time WaitingSince;
  Time NextCheckAt; ///< of a request behind others that wait
  /// Fence of the key's range when an upstream did not hold it, and until
  /// when another entry of the range is awaited.
  std::uint64_t MisplacedFence = 0;
  Time AwaitOwnerUntil;
  Reason LastReason = Reason::None; ///< of the last attempt
  bool IsFinished = false;          ///< the final answer is decided
  bool IsCallerGone = false;

  AnswerBuffer Answer;
  std::shared_ptr<Attempt> Current;  ///< attempt in progress
  std::function<void()> OnAnswer;    ///< Answer has changed
  std::function<void()> OnBodyTaken; ///< Body has room again
  /// Notices at once when the caller has closed its connection, also when the
  /// event loop is late and has not read that far.
  std::function<void()> CheckCaller;

  bool mayRepeat() const {
    return Matched != nullptr && Matched->Kind != RequestKind::NonIdempotent;
  }
};

} // namespace waxwing

#endif
