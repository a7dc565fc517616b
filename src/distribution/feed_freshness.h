/**
 * @file feed_freshness.h
 * Decides whether a VM may rely on another one that reads the store for it.
 */
#ifndef WAXWING_DISTRIBUTION_FEED_FRESHNESS_H
#define WAXWING_DISTRIBUTION_FEED_FRESHNESS_H

#include "table/change_stages.h"

namespace waxwing {

/// A VM with a path to the store must act on its changes in time even if its
/// reader is silent, behind or cut off. It therefore reads the store itself
/// when its state may be older than maxAge().
class FeedFreshness {
public:
  /// @param bound within which a change must be acted on
  explicit FeedFreshness(Duration bound) : MaxAge(maxListAge(bound)) {}

  /// Records a report of the reader.
  /// @param age time since the reader's state was known to be complete
  /// @param isComplete this VM has all changes that the reader has
  /// @param sentAt the report was not sent before
  void onReport(Duration age, bool isComplete, Time sentAt) {
    if (isComplete)
      FreshUntil = std::max(FreshUntil, sentAt - age + MaxAge);
  }
  /// @return until when the state is fresh without another report
  Time freshUntil() const { return FreshUntil; }
  /// The reader is not relied on any more.
  void clear() { FreshUntil = Time(); }
  bool isFresh(Time now) const { return now < FreshUntil; }
  Duration maxAge() const { return MaxAge; }

private:
  Duration MaxAge;
  Time FreshUntil;
};

} // namespace waxwing

#endif
