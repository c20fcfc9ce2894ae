#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "shuntjunction/state/clock.h"

/// Where cached parts of prompts are likely to be found.
namespace shuntjunction::state {

/// What is known of one part under one salt.
struct PartRecord
{
  TimePoint mServedAt; ///< when its answer began; epoch while none did
  TimePoint
    mPrefillStartedAt; ///< since when it is being read; epoch: it is not
  TimePoint mSavedAt;  ///< when it was last handed to the part store
  std::string mPrefillEndpoint; ///< id of the endpoint that reads it, or did

  /// Whether it was begun to be read and no answer has begun since.
  bool IsPrefilling() const { return mServedAt < mPrefillStartedAt; }
};

/// Remembers parts, the least recently used forgotten first.
///
/// Thread safety: none; owned by one thread.
class PartRecordTable
{
public:
  explicit PartRecordTable(std::size_t aMaxRecords)
    : mMaxRecords(aMaxRecords)
  {
  }

  /// The record of a part by its PartName, made when it is new.
  PartRecord& At(std::string aName);

  /// Takes that an endpoint reads nothing any more: its life is over.
  void ForgetPrefillsOf(std::string_view aEndpoint);

  /// Records that are kept.
  std::size_t Size() const { return mOrder.size(); }

private:
  struct Item
  {
    std::string mKey;
    PartRecord mRecord;
  };

  std::size_t mMaxRecords;
  std::list<Item> mOrder; ///< most recently used first
  std::unordered_map<std::string, std::list<Item>::iterator> mByKey;
};

} // namespace shuntjunction::state
