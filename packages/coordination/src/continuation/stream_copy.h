#pragma once

// Private to coordination: the copy of a run's memory at a second engine.

#include <cstdint>
#include <memory>
#include <string>

#include "relay_endpoint_choice.h"

namespace shuntjunction::coordination {

/// What shows that an engine may have changed its weights under a run.
enum class WeightsChange : std::uint8_t
{
  kNone,
  kAnswered,  ///< the answer named another version
  kReported,  ///< the engine's companion or the list names a newer one, or a
              ///< load
  kAnnounced, ///< a newer one was announced, so that it may have been loaded
};

/// Names of WeightsChange.
inline constexpr state::EnumNames<WeightsChange, 4> kWeightsChangeNames{
  { "none", "answered", "reported", "announced" }
};

/// A run whose memory is copied.
struct CopiedRun
{
  RelayEndpointPtr mEndpoint; ///< the engine that runs it
  std::string mModel;
  std::uint64_t mWeights = 0; ///< with which it began
};

/// A copy of the memory of a run, which the engine of the run keeps at another
/// engine while it runs. Counts its tokens there for as long as it exists.
///
/// An engine may load other weights under its runs. What it computes from then
/// on is memory of other weights, which no engine may continue from.
/// Thread safety: none; owned by the traffic thread.
class StreamCopy
{
public:
  /// @param aEndpoint  the engine that holds the copy
  StreamCopy(CopiedRun aRun, RelayEndpointPtr aEndpoint, std::int64_t aTokens);
  ~StreamCopy();
  StreamCopy(const StreamCopy&) = delete;
  StreamCopy& operator=(const StreamCopy&) = delete;

  /// The engine that holds it.
  const RelayEndpointPtr& Endpoint() const { return mEndpoint; }

  /// Version of the weights that the run used.
  std::uint64_t Weights() const { return mRun.mWeights; }

  /// Records a version of the weights that the answer to the run names.
  void NoteWeights(std::uint64_t aVersion);

  /// Why the run's memory may have been built under several versions of the
  /// weights.
  WeightsChange ChangeOfWeights(const Relay::Core& aCore) const;

  /// Whether the engine may still have it and accepts work.
  bool IsUsable(const Relay::Core& aCore, state::TimePoint aNow) const;

private:
  CopiedRun mRun;
  RelayEndpointPtr mEndpoint;
  state::EndpointIncarnation mIncarnation;
  std::int64_t mTokens;
  bool mHasOtherWeights = false; ///< its answer named another version
};

/// Chooses the engine that gets the copy of a run; null if it is not copied.
///
/// @param aChoice  the engine of the run
/// @param aKey  hash of the request
/// @pre  the route streams
std::unique_ptr<StreamCopy>
PlaceStreamCopy(Relay::Core& aCore,
                const EndpointQuery& aQuery,
                const EndpointChoice& aChoice,
                bool aIsResumable,
                std::uint64_t aKey);

} // namespace shuntjunction::coordination
