/**
 * @file parent_choice.cpp
 * A silent reader may be lost, or the path to it may be cut in one direction;
 * either way this VM reports to the leader until it gets another one.
 */
#include "distribution/parent_choice.h"

namespace waxwing {

bool ParentChoice::assign(const ReaderAssignment &assignment, Time now) {
  if (!assignment.IsReader && assignment.Reader == Avoided &&
      now < AvoidedUntil)
    return false;
  const bool isSame = assignment.IsReader == Current.IsReader &&
                      assignment.Reader == Current.Reader &&
                      assignment.Address == Current.Address;
  if (isSame)
    return false;
  Current = assignment;
  if (Current.IsReader)
    Current.Reader = {};
  SilentUntil = now + ReaderSilenceTimeout;
  return true;
}

bool ParentChoice::giveUpIfSilent(Time now) {
  if (!hasReader() || now < SilentUntil)
    return false;
  Avoided = Current.Reader;
  AvoidedUntil = now + AvoidTime;
  Current = {};
  return true;
}

} // namespace waxwing
