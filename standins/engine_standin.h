#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/json/object.hpp>

#include "shuntjunction/state/request_types.h"
#include "shuntjunction/transport/http_client.h"
#include "shuntjunction/transport/http_server.h"

/// Simulated model engine with a bounded prefix cache.
namespace shuntjunction::standins {

/// Settings of the engine stand-in.
struct EngineSettings
{
  std::size_t mSlots = 16; ///< batch size: requests that run concurrently
  std::size_t mCacheBlocks = 4000;     ///< capacity of the prefix cache
  std::int64_t mMicrosPerBlock = 1000; ///< prefill of an uncached block
  std::int64_t mMicrosPerToken = 2000; ///< time between tokens of a stream
  std::uint32_t mDefaultTokens = 32;   ///< answer length without max_tokens
  std::int64_t mEventDelayMs = 20; ///< delay before a cache event is visible
  double mEventLoss = 0;           ///< share of cache events that are dropped
  double mFailShare = 0;           ///< share of requests that fail with 500
  std::int64_t mLoadMs = 100;      ///< time to load weights
  bool mChecksFences = true; ///< refuses orders with an old fencing number
  std::string mModel;        ///< loaded at startup; may be empty
  std::uint32_t mWeights = 0;
  std::string mWeightStore; ///< "host:port"; empty for none
  std::uint64_t mSeed = 1;
};

/// Serves completions and publishes the events of its prefix cache.
///
///     POST /v1/chat/completions, /v1/completions
///     GET  /engine/state
///     GET  /engine/events?after=N&wait_ms=M
///     POST /engine/orders
///     GET  /engine/audit      executed requests and block counts, for tests
class EngineStandin final : public transport::HttpHandler
{
public:
  EngineStandin(boost::asio::io_context& aContext,
                const EngineSettings& aSettings);

  transport::Task<void> Handle(transport::HttpExchange& aExchange) override;
  transport::HttpResponse Refusal(unsigned aStatus,
                                  std::string_view aText) override;

private:
  /// A request that waits or runs.
  struct Job
  {
    std::string mRequestId;
    state::RequestKind mKind = state::RequestKind::kChat;
    int mPriority = 0;
    std::uint64_t mPrompt = 0;
    std::vector<std::uint64_t> mBlockHashes; ///< with cache salt
    std::vector<std::string> mBlockNames;    ///< from block_ids
    std::uint32_t mTokens = 0;
    std::uint32_t mOffset = 0;
    std::string mResumeText;
    std::size_t mPromptBytes = 0;
    bool mIsCancelled = false;
  };
  struct Block
  {
    std::string mName;
    std::list<std::uint64_t>::iterator mLruPosition;
  };
  struct Event
  {
    std::uint64_t mSequence = 0;
    std::string mKind;
    std::string mBlock;
    state::TimePoint mVisibleAt;
  };

  transport::Task<void> Complete(transport::HttpExchange& aExchange,
                                 state::RequestKind aKind);
  transport::Task<void> Generate(transport::HttpExchange& aExchange,
                                 Job& aJob,
                                 std::size_t aHits);
  transport::Task<bool> AcquireSlot(Job& aJob);
  transport::Task<void> Prefill(const Job& aJob, std::size_t aHits);
  transport::Task<transport::HttpResponse> ApplyOrder(
    const transport::HttpRequest& aRequest);
  transport::Task<transport::HttpResponse> EventsResponse(
    const transport::HttpRequest& aRequest);
  transport::HttpResponse StateResponse() const;
  transport::HttpResponse AuditResponse() const;
  state::Result<Job> ReadJob(const transport::HttpRequest& aRequest,
                             state::RequestKind aKind) const;
  std::size_t CountCachedBlocks(const Job& aJob);
  void StoreBlocks(const Job& aJob);
  void AddEvent(std::string aKind, std::string aBlock);

  boost::asio::io_context& mContext;
  EngineSettings mSettings;
  std::uint64_t mIncarnation = 0;
  std::string mModel;
  std::uint32_t mWeights = 0;
  std::vector<std::string> mAdapters;
  std::string mRole = "both";
  std::uint64_t mFence = 0;
  std::size_t mRunning = 0;
  std::multimap<int, std::uint64_t> mQueue; ///< tickets by priority
  std::uint64_t mNextTicket = 0;
  state::TimePoint mPrefillFreeAt;
  std::unordered_map<std::uint64_t, Block> mCache;
  std::list<std::uint64_t> mLruOrder; ///< least recently used first
  std::deque<Event> mEvents;
  std::uint64_t mSequence = 0;
  std::map<std::string, std::uint64_t> mExecuted; ///< runs by request id
  std::uint64_t mPromptBlocks = 0;
  std::uint64_t mComputedBlocks = 0;
  std::uint64_t mOrders = 0;
  std::uint64_t mStaleOrders = 0; ///< orders with an old fencing number
  std::mt19937_64 mRandom;
};

} // namespace shuntjunction::standins
