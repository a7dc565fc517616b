/**
 * @file parent_choice.h
 * The VM to which this VM reports: its reader, or the leader.
 */
#ifndef WAXWING_DISTRIBUTION_PARENT_CHOICE_H
#define WAXWING_DISTRIBUTION_PARENT_CHOICE_H

#include "peers/peer_message_type.h"

namespace waxwing {

/// Follows the leader's assignments while the assigned reader answers.
/// Invariant: a VM that is a reader has no reader.
class ParentChoice {
public:
  /// A reader that does not answer for this time is given up; three hellos in a
  /// row are then lost.
  static constexpr Duration ReaderSilenceTimeout = milliseconds(1300);
  /// A reader that was given up is not followed again for this time.
  static constexpr Duration AvoidTime = seconds(3);

  /// Takes an assignment of the leader.
  /// @return true if the role or the reader of this VM changed
  bool assign(const ReaderAssignment &assignment, Time now);
  /// This VM leads, or there is no leader that knows it.
  void clear() { Current = {}; }
  void onReaderReply(Time now) { SilentUntil = now + ReaderSilenceTimeout; }
  /// Gives up a silent reader.
  /// @return true if the reader was given up
  bool giveUpIfSilent(Time now);

  bool isReader() const { return Current.IsReader; }
  bool hasReader() const { return !Current.Reader.Value.empty(); }
  const ReaderAssignment &current() const { return Current; }

private:
  ReaderAssignment Current;
  Time SilentUntil; ///< the reader is given up then, unless it answers
  VmId Avoided;     ///< not followed before AvoidedUntil
  Time AvoidedUntil;
};

} // namespace waxwing

#endif
