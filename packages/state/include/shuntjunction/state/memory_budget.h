#pragma once

#include <cstdint>
#include <mutex>

/// Division of a process's memory among the connections that it serves.
namespace shuntjunction::state {

/// Settings of a MemoryBudget.
struct MemoryBudgetSettings
{
  std::int64_t mTotal = 256L * 1024 * 1024; ///< limit of the process, bytes
  /// Share kept for the process itself: code, peers, caches, log, allocator.
  double mOwnShare = 0.15;
  /// Share kept free in the measured use: covers growth between two
  /// measurements.
  double mMarginShare = 0.05;
  /// While less than this share is reserved, the measured use is ignored:
  /// refusing would not lower it.
  double mMinReservedShare = 0.1;
};

/// Grants reservations of memory within a limit.
///
/// Reservations are made before memory is used, for the most that it may grow
/// to. The measured use is a second guard, for what no reservation covers.
/// Thread safety: all methods may be called from any thread.
class MemoryBudget
{
public:
  explicit MemoryBudget(const MemoryBudgetSettings& aSettings);

  /// Reserves bytes; returns whether there was room.
  ///
  /// @pre  aBytes is not negative
  bool Reserve(std::int64_t aBytes);

  /// Returns reserved bytes.
  void Release(std::int64_t aBytes);

  /// Records the memory that the process uses at this moment; later
  /// reservations add to it.
  void NoteUsed(std::int64_t aBytes);

  /// Whether a reservation of this size would succeed.
  bool HasRoom(std::int64_t aBytes) const;

  std::int64_t Reserved() const;

  /// Most that may be reserved at a time.
  std::int64_t Limit() const { return mLimit; }

private:
  bool HasRoomLocked(std::int64_t aBytes) const;

  const std::int64_t mLimit;
  const std::int64_t mUsedLimit;
  const std::int64_t mMinReserved;
  mutable std::mutex mMutex;
  std::int64_t mReserved = 0;
  std::int64_t mUsed = 0;          ///< at the last measurement
  std::int64_t mReservedSince = 0; ///< since then, less what was released
};

/// A reservation of a MemoryBudget, returned when it is destroyed.
///
/// Thread safety: none.
class MemoryReservation
{
public:
  MemoryReservation() = default;

  /// @param aBudget  outlives the reservation
  explicit MemoryReservation(MemoryBudget& aBudget)
    : mBudget(&aBudget)
  {
  }
  MemoryReservation(MemoryReservation&& aOther) noexcept;
  MemoryReservation& operator=(MemoryReservation&& aOther) noexcept;
  ~MemoryReservation();

  /// Changes the reserved size; returns false, and changes nothing, if there is
  /// no room. Always succeeds when the size shrinks.
  ///
  /// @pre  constructed with a budget
  bool Resize(std::int64_t aBytes);

  std::int64_t Bytes() const { return mBytes; }

private:
  MemoryBudget* mBudget = nullptr;
  std::int64_t mBytes = 0;
};

} // namespace shuntjunction::state
