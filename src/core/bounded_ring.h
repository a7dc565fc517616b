/**
 * @file bounded_ring.h
 * Bounded lock-free queue from one thread to one other. Neither side blocks;
 * a push to a full queue fails.
 */
#ifndef WAXWING_CORE_BOUNDED_RING_H
#define WAXWING_CORE_BOUNDED_RING_H

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <utility>

namespace waxwing {

/// Single-producer, single-consumer ring buffer. The consumer is notified once
/// for any number of queued items.
/// Invariant: only one thread calls push() and only one other calls drain().
template <class T> class BoundedRing {
public:
  /// @param capacity maximum number of queued items
  /// @param wake called on the producer thread when the consumer may be
  ///   asleep; it must make the consumer call drain()
  BoundedRing(std::size_t capacity, std::function<void()> wake)
      : Items(capacity), Wake(std::move(wake)) {}

  /// @return false when the ring is full; @p item is then not moved from
  bool push(T &&item) {
    if (Items.write_available() == 0)
      return false;
    Items.push(std::move(item));
    if (!WakePending.exchange(true))
      Wake();
    return true;
  }

  /// Removes all queued items and passes each to @p consume.
  template <class F> void drain(F &&consume) {
    WakePending.store(false);
    Items.consume_all(
        [&](T &item) { std::forward<F>(consume)(std::move(item)); });
  }

private:
  boost::lockfree::spsc_queue<T> Items;
  std::function<void()> Wake;
  /// Wake() was called, and drain() has not been called since.
  std::atomic<bool> WakePending{false};
};

} // namespace waxwing

#endif
