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

/// A model engine with a limited prefix cache, in one small process.
namespace shuntjunction::standins {

/// How an engine stand-in behaves.
struct EngineSettings
{
  std::size_t mSlots = 16;             ///< requests in its batch
  std::size_t mCacheBlocks = 4000;     ///< blocks that its cache holds
  std::int64_t mMicrosPerBlock = 1000; ///< to compute one missed block
  std::int64_t mMicrosPerToken = 2000; ///< between tokens of one stream
  std::uint32_t mDefaultTokens = 32;   ///< of an answer, unless asked otherwise
  std::int64_t mEventDelayMs = 20;     ///< cache events are so late
  double mEventLoss = 0;               ///< share of cache events that are lost
  double mFailShare = 0;               ///< of requests answered with an error
  std::int64_t mLoadMs = 100;          ///< to load weights
  bool mChecksFences = true;           ///< refuses old fencing numbers
  std::string mModel;                  ///< loaded at the start; may be empty
  std::uint32_t mWeights = 0;
  std::string mWeightStore; ///< "host:port", or empty for none
  std::uint64_t mSeed = 1;
};

/// Serves completions and says what it has cached.
///
///     POST /v1/chat/completions, /v1/completions
///     GET  /engine/state
///     GET  /engine/events?after=N&wait_ms=M
///     POST /engine/orders
///     GET  /engine/audit      what was run, computed and hit, for checkers
class EngineStandin final : public transport::HttpHandler
{
public:
  EngineStandin(boost::asio::io_context& aContext,
                const EngineSettings& aSettings);

  transport::Task<void> Handle(transport::HttpExchange& aExchange) override;
  transport::HttpResponse Refusal(unsigned aStatus,
                                  std::string_view aText) override;

private:
  /// A request in the engine.
  struct Job
  {
    std::string mRequestId;
    state::RequestKind mKind = state::RequestKind::kChat;
    int mPriority = 0;
    std::uint64_t mPrompt = 0;
    std::vector<std::uint64_t> mContent; ///< salted hashes of its blocks
    std::vector<std::string> mNames;     ///< names given to them
    std::uint32_t mTokens = 0;
    std::uint32_t mOffset = 0;
    std::string mResumeText;
    std::size_t mPromptBytes = 0;
    bool mIsGone = false;
  };
  struct Block
  {
    std::string mName;
    std::list<std::uint64_t>::iterator mAge;
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
  transport::Task<bool> TakeSlot(Job& aJob);
  transport::Task<void> Prefill(const Job& aJob, std::size_t aHits);
  transport::Task<transport::HttpResponse> Obey(
    const transport::HttpRequest& aRequest);
  transport::Task<transport::HttpResponse> AnswerEvents(
    const transport::HttpRequest& aRequest);
  transport::HttpResponse AnswerState() const;
  transport::HttpResponse AnswerAudit() const;
  state::Result<Job> ReadJob(const transport::HttpRequest& aRequest,
                             state::RequestKind aKind) const;
  std::size_t Hits(const Job& aJob);
  void Store(const Job& aJob);
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
  std::multimap<int, std::uint64_t> mQueue; ///< priority to ticket
  std::uint64_t mNextTicket = 0;
  state::TimePoint mPrefillFree;
  std::unordered_map<std::uint64_t, Block> mCache;
  std::list<std::uint64_t> mAges; ///< oldest first
  std::deque<Event> mEvents;
  std::uint64_t mSequence = 0;
  std::map<std::string, std::uint64_t> mExecuted; ///< runs by request id
  std::uint64_t mPromptBlocks = 0;
  std::uint64_t mComputedBlocks = 0;
  std::uint64_t mOrders = 0;
  std::uint64_t mOldOrders = 0; ///< orders with an old fencing number
  std::mt19937_64 mRandom;
};

} // namespace shuntjunction::standins
