#pragma once

#include <atomic>
#include <cstdint>
#include <set>

#include "shuntjunction/state/freshness.h"

/// How current a followed list is.
namespace shuntjunction::state {

/// Whether a list that a watch follows is in line with its store.
///
/// The store counts all its changes in one revision, and each of its answers
/// tells it. An answer about other objects therefore says that the list is as
/// it was, or that something changed of which the list's own watch has not
/// told yet.
/// Thread safety: one thread takes answers; all else may be called from any.
class ListFreshness
{
public:
  /// Takes an answer about the list: it is known up to a revision.
  void NoteListRevision(std::uint64_t aRevision, TimePoint aAskedAt);

  /// Takes a change of other objects: at its revision the list did not change.
  void NoteOtherRevision(std::uint64_t aRevision);

  /// Takes the store's revision from an answer about any objects.
  void NoteStoreRevision(std::uint64_t aRevision, TimePoint aAskedAt);

  /// Whether the store has changes that the list has not been told of; they
  /// need not be the list's.
  bool IsBehind() const { return mKnown < mStore; }

  /// Revision up to which the list is known.
  std::uint64_t Known() const { return mKnown; }

  /// Revision that the store is known to have reached.
  std::uint64_t Store() const { return mStore; }

  /// Time since the question whose answer confirmed the list last; very long
  /// when none did.
  Millis Age(TimePoint aNow) const { return mConfirmed.Age(aNow); }

  /// Whether it was confirmed at all.
  bool IsKnown() const { return mConfirmed.IsKnown(); }

private:
  void AdvanceTo(std::uint64_t aRevision);

  std::atomic<std::uint64_t> mKnown{ 0 };
  std::atomic<std::uint64_t> mStore{ 0 };
  std::set<std::uint64_t> mOthers; ///< revisions above mKnown, of other objects
  Freshness mConfirmed;
};

} // namespace shuntjunction::state
