#include "shuntjunction/state/list_freshness.h"

#include <algorithm>

namespace shuntjunction::state {

namespace {

/// Maximum number of stored revisions of other objects. A dropped one only
/// costs an extra read of the list.
constexpr std::size_t kMaxOthers = 1024;

} // namespace

void
ListFreshness::NoteListRevision(std::uint64_t aRevision, TimePoint aAskedAt)
{
  AdvanceTo(aRevision);
  NoteStoreRevision(aRevision, aAskedAt);
}

void
ListFreshness::NoteOtherRevision(std::uint64_t aRevision)
{
  if (aRevision <= mKnown) {
    return;
  }
  mOthers.insert(aRevision);
  if (mOthers.size() > kMaxOthers) {
    mOthers.erase(mOthers.begin());
  }
  AdvanceTo(mKnown);
}

void
ListFreshness::NoteStoreRevision(std::uint64_t aRevision, TimePoint aAskedAt)
{
  mStore = std::max(mStore.load(), aRevision);
  if (aRevision <= mKnown) {
    mConfirmed.Confirm(aAskedAt);
  }
}

void
ListFreshness::AdvanceTo(std::uint64_t aRevision)
{
  std::uint64_t known = std::max(mKnown.load(), aRevision);
  while (mOthers.contains(known + 1)) {
    ++known;
  }
  mOthers.erase(mOthers.begin(), mOthers.upper_bound(known));
  mKnown = known;
}

} // namespace shuntjunction::state
