#include "shuntjunction/state/memory_budget.h"

#include <algorithm>
#include <utility>

namespace shuntjunction::state {

namespace {

std::int64_t
ShareOf(std::int64_t aBytes, double aShare)
{
  return static_cast<std::int64_t>(static_cast<double>(aBytes) * aShare);
}

} // namespace

MemoryBudget::MemoryBudget(const MemoryBudgetSettings& aSettings)
  : mLimit(ShareOf(aSettings.mTotal, 1 - aSettings.mOwnShare))
  , mUsedLimit(ShareOf(aSettings.mTotal, 1 - aSettings.mMarginShare))
  , mMinReserved(ShareOf(aSettings.mTotal, aSettings.mMinReservedShare))
{
}

bool
MemoryBudget::HasRoomLocked(std::int64_t aBytes) const
{
  if (mReserved + aBytes > mLimit) {
    return false;
  }
  return mReserved < mMinReserved ||
         mUsed + mReservedSince + aBytes <= mUsedLimit;
}

bool
MemoryBudget::HasRoom(std::int64_t aBytes) const
{
  const std::lock_guard lock(mMutex);
  return HasRoomLocked(aBytes);
}

bool
MemoryBudget::Reserve(std::int64_t aBytes)
{
  const std::lock_guard lock(mMutex);
  if (!HasRoomLocked(aBytes)) {
    return false;
  }
  mReserved += aBytes;
  mReservedSince += aBytes;
  return true;
}

void
MemoryBudget::Release(std::int64_t aBytes)
{
  const std::lock_guard lock(mMutex);
  mReserved -= aBytes;
  mReservedSince -= aBytes;
}

void
MemoryBudget::NoteUsed(std::int64_t aBytes)
{
  const std::lock_guard lock(mMutex);
  mUsed = aBytes;
  mReservedSince = 0;
}

std::int64_t
MemoryBudget::Reserved() const
{
  const std::lock_guard lock(mMutex);
  return mReserved;
}

MemoryReservation::MemoryReservation(MemoryReservation&& aOther) noexcept
  : mBudget(aOther.mBudget)
  , mBytes(std::exchange(aOther.mBytes, 0))
{
}

MemoryReservation&
MemoryReservation::operator=(MemoryReservation&& aOther) noexcept
{
  std::swap(mBudget, aOther.mBudget);
  std::swap(mBytes, aOther.mBytes);
  return *this;
}

MemoryReservation::~MemoryReservation()
{
  if (mBudget != nullptr && mBytes != 0) {
    mBudget->Release(mBytes);
  }
}

bool
MemoryReservation::Resize(std::int64_t aBytes)
{
  if (aBytes > mBytes && !mBudget->Reserve(aBytes - mBytes)) {
    return false;
  }
  if (aBytes < mBytes) {
    mBudget->Release(mBytes - aBytes);
  }
  mBytes = aBytes;
  return true;
}

} // namespace shuntjunction::state
