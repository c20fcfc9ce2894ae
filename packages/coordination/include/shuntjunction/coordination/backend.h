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

/// What a companion speaks to: a model engine or a plain service.
namespace shuntjunction::coordination {

/// What a backend says of itself.
struct BackendState
{
  state::Incarnation mIncarnation = 0;
  std::string mModel;
  std::uint32_t mWeights = 0;
  std::vector<std::string> mAdapters;
  state::EngineRole mRole = state::EngineRole::kBoth;
  std::uint64_t mFence = 0; ///< highest fencing number it has obeyed

  bool operator==(const BackendState&) const = default;
};

/// What a backend is to become.
struct BackendOrder
{
  std::uint64_t mFence = 0;
  std::string mModel;
  std::uint32_t mWeights = 0;
  std::vector<std::string> mAdapters;
  state::EngineRole mRole = state::EngineRole::kBoth;
};

/// A request as it is handed over.
struct BackendCall
{
  protocol::Submit mSubmit;
  std::string mSalt; ///< separates the engine's caches by team and weights
  std::vector<state::PrefixHash> mChain; ///< names of the prompt's blocks
  std::shared_ptr<transport::CancelHandle> mCancel; ///< cuts the answer off
};

/// Tokens of an answer.
struct BackendTokens
{
  std::uint32_t mOffset = 0;
  std::uint32_t mCount = 0;
  std::string mText;
};

/// The end of a complete answer.
struct BackendEnd
{
  unsigned mStatus = 200;
  std::string mContentType;
  std::string mBody; ///< of a plain service
  std::uint32_t mTotalTokens = 0;
  std::string mFinishReason;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCachedTokens = 0;
};

/// A piece of an answer.
using BackendEvent = std::variant<BackendTokens, BackendEnd>;

/// An answer while it arrives; destroying it early cancels the work.
class BackendResponse
{
public:
  virtual ~BackendResponse() = default;

  /// Life of the engine that answers; 0 for a plain service.
  virtual state::Incarnation CurrentIncarnation() const = 0;

  /// Weights version that answers; 0 for a plain service.
  virtual std::uint32_t Weights() const = 0;

  /// Blocks of the prompt that were cached.
  virtual std::uint32_t CachedBlocks() const = 0;

  /// The next piece; an error when the answer was cut off.
  virtual transport::Task<state::Result<BackendEvent>> Next(
    state::Millis aTimeout) = 0;
};

/// Cache events from one point on.
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

  /// Hands a request over.
  ///
  /// @return kUnavailable when it was certainly not run
  virtual transport::Task<state::Result<std::unique_ptr<BackendResponse>>> Open(
    BackendCall aCall) = 0;

  /// What it says of itself now.
  virtual transport::Task<state::Result<BackendState>> State() = 0;

  /// Whether it has a prefix cache and takes orders.
  virtual bool IsEngine() const = 0;

  /// Waits for cache events after a sequence number.
  virtual transport::Task<state::Result<CacheEvents>> Events(
    std::uint64_t aAfter,
    state::Millis aWait) = 0;

  /// Orders it to load a model or to change role.
  ///
  /// @return kConflict when it refused an old fencing number
  virtual transport::Task<state::Result<void>> Order(BackendOrder aOrder) = 0;
};

/// Makes the backend of a model engine.
std::unique_ptr<Backend>
MakeEngineBackend(const state::Address& aAddress,
                  const state::CompanionSettings& aSettings,
                  std::size_t aMaxAnswerBytes);

/// Makes the backend of a plain service.
std::unique_ptr<Backend>
MakeServiceBackend(const state::Address& aAddress,
                   const state::CompanionSettings& aSettings,
                   std::size_t aMaxAnswerBytes);

} // namespace shuntjunction::coordination
