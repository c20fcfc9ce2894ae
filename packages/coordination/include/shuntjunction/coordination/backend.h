#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "shuntjunction/protocol/messages.h"
#include "shuntjunction/state/block_index.h"
#include "shuntjunction/state/config_objects.h"
#include "shuntjunction/state/error.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/http_client.h"
#include "shuntjunction/transport/task.h"

/// Backends of a companion: a model engine or a plain HTTP service.
namespace shuntjunction::coordination {

/// State that a backend reports.
struct BackendState
{
  state::Incarnation mIncarnation = 0;
  std::string mModel;
  std::uint32_t mWeights = 0;
  std::vector<std::string> mAdapters;
  state::EngineRole mRole = state::EngineRole::kBoth;
  std::uint64_t mFence = 0; ///< highest fencing token accepted so far

  bool operator==(const BackendState&) const = default;
};

/// The state that an engine is ordered to change to.
struct BackendOrder
{
  std::uint64_t mFence = 0;
  std::string mModel;
  std::uint32_t mWeights = 0;
  std::vector<std::string> mAdapters;
  state::EngineRole mRole = state::EngineRole::kBoth;
};

/// A request to a backend.
struct BackendCall
{
  protocol::Submit mSubmit;
  std::string mSalt; ///< isolates cache entries by team and weights version
  std::vector<state::PrefixHash> mChain; ///< hashes of the prompt's blocks
  std::shared_ptr<transport::CancelHandle> mCancel; ///< aborts the response
};

/// Generated tokens.
struct BackendTokens
{
  std::uint32_t mOffset = 0;
  std::uint32_t mCount = 0;
  std::string mText;
};

/// The end of a complete response.
struct BackendEnd
{
  unsigned mStatus = 200;
  std::string mContentType;
  std::string mBody; ///< empty for an engine, which streams tokens
  std::uint32_t mTotalTokens = 0;
  std::string mFinishReason;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCachedTokens = 0;
};

/// One event of a response stream.
using BackendEvent = std::variant<BackendTokens, BackendEnd>;

/// A response stream; destroying it before its end cancels the request.
class BackendResponse
{
public:
  virtual ~BackendResponse() = default;

  /// Incarnation of the responding engine; 0 for a plain service.
  virtual state::Incarnation CurrentIncarnation() const = 0;

  /// Weights version of the responding engine; 0 for a plain service.
  virtual std::uint32_t Weights() const = 0;

  /// Number of the prompt's blocks that were cached.
  virtual std::uint32_t CachedBlocks() const = 0;

  /// Waits for the next event; an error if the response was interrupted.
  virtual transport::Task<state::Result<BackendEvent>> Next(
    state::Millis aTimeout) = 0;
};

/// Cache events after a sequence number.
struct CacheEvents
{
  state::Incarnation mIncarnation = 0;
  std::vector<state::CacheEvent> mEvents;
};

/// A model engine or plain service.
///
/// Thread safety: none; used on one thread.
class Backend
{
public:
  virtual ~Backend() = default;

  /// Sends a request.
  ///
  /// @return kUnavailable if the request was certainly not run
  virtual transport::Task<state::Result<std::unique_ptr<BackendResponse>>> Open(
    BackendCall aCall) = 0;

  /// Queries the backend's state.
  virtual transport::Task<state::Result<BackendState>> State() = 0;

  /// Whether it is a model engine, with a prefix cache and orders.
  virtual bool IsEngine() const = 0;

  /// Waits for cache events after a sequence number.
  virtual transport::Task<state::Result<CacheEvents>> Events(
    std::uint64_t aAfter,
    state::Millis aWait) = 0;

  /// Orders it to load a model or to change its role.
  ///
  /// @return kConflict if it rejected the order's fencing token as outdated
  virtual transport::Task<state::Result<void>> Order(BackendOrder aOrder) = 0;
};

/// Creates the backend for a model engine.
std::unique_ptr<Backend>
MakeEngineBackend(const state::Address& aAddress,
                  const state::CompanionSettings& aSettings,
                  std::size_t aMaxResponseBytes);

/// Creates the backend for a plain service.
std::unique_ptr<Backend>
MakeServiceBackend(const state::Address& aAddress,
                   const state::CompanionSettings& aSettings,
                   std::size_t aMaxResponseBytes);

} // namespace shuntjunction::coordination
