#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "shuntjunction/state/clock.h"

/// Recent use of prompt parts: which were prefilled, where and when.
namespace shuntjunction::state {

/// Recent use of one part under one salt.
struct PartRecord
{
  TimePoint mServedAt;          ///< start of the last answer; epoch: none
  TimePoint mPrefillStartedAt;  ///< start of the last prefill; epoch: none
  TimePoint mSavedAt;           ///< when it was last sent to a KV store
  std::string mPrefillEndpoint; ///< id of the endpoint that prefilled it last

  /// Whether a prefill has started and no answer has started since.
  bool IsPrefilling() const { return mServedAt < mPrefillStartedAt; }
};

/// Records of the most recently used parts; the least recently used is evicted
/// first.
///
/// Thread safety: none; owned by one thread.
class PartRecordTable
{
public:
  explicit PartRecordTable(std::size_t aMaxRecords)
    : mMaxRecords(aMaxRecords)
  {
  }

  /// The record of a part by its PartName; created if there is none.
  PartRecord& At(std::string aName);

  /// Clears the prefills of an endpoint whose process has ended.
  void ForgetPrefillsOf(std::string_view aEndpoint);

  /// Number of records.
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
