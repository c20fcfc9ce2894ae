#pragma once

// Private to coordination: what a relay, its sessions and runs share.

#include <set>

#include <boost/asio/ip/tcp.hpp>

#include "relay_crashes.h"
#include "relay_endpoint.h"
#include "relay_notices.h"
#include "relay_rates.h"
#include "shuntjunction/coordination/relay.h"
#include "shuntjunction/state/descriptor_budget.h"
#include "shuntjunction/state/first_token.h"
#include "shuntjunction/state/limit_shares.h"
#include "shuntjunction/state/overload_guard.h"
#include "shuntjunction/state/part_record_table.h"
#include "shuntjunction/state/window_budget.h"

namespace shuntjunction::coordination {

class RelaySession;

/// Names a relay in log lines.
inline constexpr std::string_view kRelayComponent = "relay";

/// Times and sizes of a relay that are no settings of its operators.
struct RelayLimits
{
  /// Margin by which a confirmation of the keys must be younger than allowed:
  /// covers the way of a hand-over to an endpoint.
  state::Millis mFreshnessMargin{ 300 };
  /// A connection that rested longer is not used for a request that may run
  /// only once: its endpoint may close it at that moment.
  state::Millis mOnceMaxIdle{ 1000 };
  /// A process that just started has its configuration within this.
  state::Millis mConfigWait{ 120 };
  /// Share of the latency objective for which a request may wait for an
  /// endpoint to open; callers can still come back in time then.
  double mWaitShare = 0.2;
  /// Answers up to this size are read whole before any of it is passed on.
  std::size_t mMaxBufferedAnswer = 64UL * 1024;
  /// Bytes read ahead on a connection.
  std::size_t mReadAhead = 64UL * 1024;
  /// Share of the process's memory for bodies of requests.
  double mBodyShare = 0.3;
  /// Memory that an open connection of a caller may need, with its request
  /// under way and the connection to its endpoint.
  std::int64_t mBytesPerSession = 64L * 1024;
  /// Parts of prompts that are remembered.
  std::size_t mMaxParts = 4096;
  /// News of a part comes so long after it was read at the latest.
  state::Millis mNewsDelay{ 1000 };
  /// Longest wait behind another request that reads the same part.
  state::Millis mPartWait{ 350 };
  /// Within this of the bound, older weights get no request.
  state::Millis mWeightsMargin{ 1500 };
  /// An engine that did not load its weights so long after its turn is used
  /// again meanwhile.
  state::Millis mLoadTimeout{ 2500 };
  /// A restart is heard of within this, by the list or by its companion.
  state::Millis mRestartDetection{ 10000 };
  /// Requests that broke off at one endpoint that are remembered for it.
  std::size_t mMaxBrokenRequests = 64;
  state::FirstTokenSettings mFirstToken;
};

/// A relay's state.
struct Relay::Core
{
  /// Relays among which the slack of repeats is divided before any companion
  /// told how many there are: in the first moments of a relay's life.
  static constexpr double kAssumedRelays = 32;
  /// Of what companions tell: one may not reach all relays, and a relay that is
  /// restarted begins its share anew.
  static constexpr double kRelayShareDivisor = 2;

  explicit Core(const RelayDependencies& aParts);

  /// Whether a key may still be taken as valid.
  bool AreKeysFresh() const;

  /// Closes connections on which no request has begun.
  void CloseIdleSessions();

  /// Takes how many relays a companion tells; fewer than before change nothing.
  void UpdateRelayCount(std::uint32_t aRelays);

  /// Takes that an endpoint is in another life: what was read, or waited, there
  /// before counts no more.
  void NoteRestart(RelayEndpoint& aEndpoint);

  /// Takes that an endpoint crashed under the requests that broke off there
  /// lately.
  void NoteCrashOfBrokenRequests(RelayEndpoint& aEndpoint);

  /// Whether no more callers' connections can be taken now.
  bool IsFull() const;

  /// Makes room for one more connection to an endpoint, by giving up the one
  /// that has rested the longest if need be; whether there is room.
  bool MakeRoomForEndpoint();

  /// Relays, as far as companions told; one at least.
  double Relays() const { return std::max<double>(mMaxRelays, 1.0); }

  /// The budget of a service's repeats, with this relay's share of the slack.
  state::WindowBudget& BudgetOf(const std::string& aService);

  RelayDependencies mParts;
  RelayLimits mLimits;
  state::DescriptorBudget mDescriptors;
  RelayEndpoints mEndpoints;
  RelayCrashes mCrashes;
  state::ShareDirectory mShares;
  RelayRates mRates;
  RelayNotices mNotices;
  state::PartRecordTable mLedger;
  state::PrefillRate mPrefillRate;
  state::OverloadGuard mGuard;
  std::map<std::string, state::WindowBudget> mBudgets; ///< by service
  std::uint32_t mMaxRelays = 0; ///< that a companion told; 0: none did
  std::shared_ptr<const RelayView> mView = std::make_shared<RelayView>();
  state::RandomSource mRandom;
  std::shared_ptr<transport::asio::ip::tcp::acceptor> mAcceptor;
  std::set<RelaySession*> mSessions;
  std::size_t mActive = 0;    ///< requests that are being served
  std::size_t mBodyBytes = 0; ///< of the bodies of these
  bool mIsStopping = false;   ///< unready, still serving
  bool mIsRefusing = false;   ///< new requests are refused
};

} // namespace shuntjunction::coordination
