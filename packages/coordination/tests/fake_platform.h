#pragma once

#include <map>
#include <string>

#include "shuntjunction/coordination/platform.h"

/// An in-memory platform with injectable write faults.
namespace shuntjunction::coordination {

/// The outcome of the next write.
enum class WriteFault : std::uint8_t
{
  kNone,
  kResponseLost, ///< the write takes effect, its response is lost
  kRequestLost,  ///< the write has no effect and gets no response
};

/// Stores objects in a map and counts calls.
class FakePlatform final : public Platform
{
public:
  transport::Task<state::Result<ObjectList>> List(std::string aPrefix) override
  {
    ++mLists;
    ObjectList list;
    list.mRevision = mRevision;
    for (const auto& [key, object] : mObjects) {
      if (key.starts_with(aPrefix)) {
        list.mObjects.push_back(object);
      }
    }
    co_return list;
  }

  transport::Task<state::Result<std::optional<state::RawObject>>> Read(
    std::string aKey) override
  {
    ++mReads;
    const auto found = mObjects.find(aKey);
    co_return found == mObjects.end() ? std::nullopt
                                      : std::optional(found->second);
  }

  transport::Task<state::Result<std::uint64_t>> Write(
    std::string aKey,
    std::string aValue,
    std::uint64_t aIfRevision) override
  {
    ++mWrites;
    const WriteFault fault = std::exchange(mNextWrite, WriteFault::kNone);
    if (fault == WriteFault::kRequestLost) {
      co_return NoResponse();
    }
    const auto found = mObjects.find(aKey);
    const std::uint64_t current =
      found == mObjects.end() ? 0 : found->second.mRevision;
    if (current != aIfRevision) {
      co_return state::Fail(
        state::ErrorCode::kConflict, "fake.write", aKey, "changed");
    }
    mObjects[aKey] = { aKey, ++mRevision, aValue };
    if (fault == WriteFault::kResponseLost) {
      co_return NoResponse();
    }
    co_return mRevision;
  }

  transport::Task<state::Result<void>> Delete(
    std::string aKey,
    std::uint64_t aIfRevision) override
  {
    ++mWrites;
    const auto found = mObjects.find(aKey);
    if (found == mObjects.end() || found->second.mRevision != aIfRevision) {
      co_return state::Fail(
        state::ErrorCode::kConflict, "fake.delete", aKey, "changed");
    }
    mObjects.erase(found);
    ++mRevision;
    co_return state::Result<void>{};
  }

  transport::Task<state::Result<WatchResult>> Watch(std::string,
                                                    std::uint64_t,
                                                    state::Millis) override
  {
    co_return NoResponse();
  }

  transport::Task<state::Result<InstanceList>> Instances(std::uint64_t,
                                                         state::Millis) override
  {
    co_return NoResponse();
  }

  transport::Task<state::Result<ObjectList>> ListCached(
    std::string aPrefix) override
  {
    return List(std::move(aPrefix));
  }

  void AbortPendingCalls() override {}

  std::map<std::string, state::RawObject> mObjects;
  WriteFault mNextWrite = WriteFault::kNone;
  std::uint64_t mRevision = 0;
  int mLists = 0;
  int mReads = 0;
  int mWrites = 0;

private:
  static tl::unexpected<state::Error> NoResponse()
  {
    return state::Fail(
      state::ErrorCode::kTimeout, "fake.call", "platform", "no answer");
  }
};

} // namespace shuntjunction::coordination
