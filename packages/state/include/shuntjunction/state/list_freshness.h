#pragma once

#include <atomic>
#include <cstdint>
#include <set>

#include "shuntjunction/state/freshness.h"

/// Tracks how current a watched list is.
namespace shuntjunction::state {

/// Whether a watched list is consistent with its store.
///
/// The store numbers all its changes with a single revision and includes that
/// revision in every response. A response about other objects therefore shows
/// either that the list is unchanged, or that something changed that the list's
/// own watch has not yet delivered.
/// Thread safety: one thread records responses; all other methods may be called
/// from any thread.
class ListFreshness
{
public:
  /// Records a response about the list, which is now known up to aRevision.
  void NoteListRevision(std::uint64_t aRevision, TimePoint aAskedAt);

  /// Records a change of other objects: the list did not change at its
  /// revision.
  void NoteOtherRevision(std::uint64_t aRevision);

  /// Records the store's revision from a response about any objects.
  void NoteStoreRevision(std::uint64_t aRevision, TimePoint aAskedAt);

  /// Whether the store has changes that the list has not received; they may
  /// concern other objects.
  bool IsBehind() const { return mKnown < mStore; }

  /// Revision up to which the list is known.
  std::uint64_t Known() const { return mKnown; }

  /// Highest known revision of the store.
  std::uint64_t Store() const { return mStore; }

  /// Time of the request whose response last confirmed the list; empty if there
  /// was none.
  std::optional<TimePoint> At() const { return mConfirmed.At(); }

  /// Time since the request whose response last confirmed the list;
  /// Millis::max() if there was none.
  Millis Age(TimePoint aNow) const { return mConfirmed.Age(aNow); }

  /// Whether the list was ever confirmed.
  bool IsKnown() const { return mConfirmed.IsKnown(); }

private:
  void AdvanceTo(std::uint64_t aRevision);

  std::atomic<std::uint64_t> mKnown{ 0 };
  std::atomic<std::uint64_t> mStore{ 0 };
  std::set<std::uint64_t> mOthers; ///< above mKnown, of other objects
  Freshness mConfirmed;
};

} // namespace shuntjunction::state
