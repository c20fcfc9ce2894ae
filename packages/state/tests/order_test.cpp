// Tests of orders to an engine: companions that each believe they may order,
// with engines that check fencing tokens and engines that ignore them.

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "history.h"
#include "schedules.h"
#include "shuntjunction/state/order_machine.h"

namespace shuntjunction::state::history {
namespace {

/// Mechanisms that can be disabled, to show that the guarantee then fails.
struct OrderMechanisms
{
  bool mIsConditional = true; ///< the token is acquired by a conditional write
  bool mRechecksFence = true; ///< just before the order
  bool mEngineChecksFences = true; ///< the engine rejects old tokens
};

/// Simulates two companions of one endpoint, its engine and the platform.
///
/// Each pair of bytes of a schedule is one step: a step of a companion whose
/// call is answered, lost or delayed; a restart; a new configuration, or its
/// arrival at one companion; a delayed effect. A companion that gets no step
/// for a long time represents a paused one.
class OrderSimulation
{
public:
  explicit OrderSimulation(const OrderMechanisms& aMechanisms)
    : mMechanisms(aMechanisms)
  {
  }

  History Run(const std::vector<std::uint8_t>& aSchedule)
  {
    for (std::size_t i = 0; i + 1 < aSchedule.size(); i += 2) {
      const std::uint8_t detail = aSchedule[i + 1];
      Companion& companion = mCompanions[aSchedule[i] / 16 % kCompanions];
      switch (aSchedule[i] % 16) {
        case 0:
          ++mNewest;
          break;
        case 1:
        case 2:
          companion.mDesiredWeights = mNewest;
          break;
        case 3:
          companion.mMachine.reset(); // It crashes and restarts.
          break;
        case 4:
          ApplyOneDelayed();
          break;
        default:
          Step(companion, detail);
          break;
      }
    }
    RunWithoutFaults();
    return mHistory;
  }

  /// Whether the engine had the desired weights once the faults were over.
  bool HasConverged() const { return mWeights == mNewest; }

private:
  static constexpr std::size_t kCompanions = 2;
  static constexpr int kFaultFreeSteps = 200;

  /// Result of a call.
  enum class CallResult : std::uint8_t
  {
    kAnswered,
    kResponseLost,
    kCallLost,
    kDelayed, ///< takes effect later
  };

  struct Companion
  {
    std::uint32_t mDesiredWeights = 0; ///< weights version of its configuration
    std::string mHolder;
    std::uint64_t mLastSeenFence = 0;
    std::unique_ptr<OrderMachine> mMachine;
  };
  struct Order
  {
    ExecutedOrder mLogEntry;
    std::uint32_t mWeights = 0;
  };
  struct Write
  {
    FenceRecord mRecord;
    std::uint64_t mIfRevision = 0;
  };

  static tl::unexpected<Error> NoResponse()
  {
    return Fail(ErrorCode::kTimeout, "test", "platform", "no answer");
  }

  Result<std::uint64_t> Apply(const Write& aWrite)
  {
    if (mMechanisms.mIsConditional &&
        aWrite.mIfRevision != mStoredFence.mRevision) {
      return Fail(ErrorCode::kConflict, "test", "platform", "changed");
    }
    mStoredFence = { aWrite.mRecord, ++mRevision };
    return mRevision;
  }

  void Execute(const Order& aOrder)
  {
    if (mMechanisms.mEngineChecksFences &&
        aOrder.mLogEntry.mFence < mEngineFence) {
      return;
    }
    mEngineFence = std::max(mEngineFence, aOrder.mLogEntry.mFence);
    mWeights = aOrder.mWeights;
    mHistory.mExecutedOrders.push_back(aOrder.mLogEntry);
  }

  void ApplyOneDelayed()
  {
    if (!mDelayedWrites.empty()) {
      Apply(mDelayedWrites.back());
      mDelayedWrites.pop_back();
    } else if (!mDelayedOrders.empty()) {
      Execute(mDelayedOrders.back());
      mDelayedOrders.pop_back();
    }
  }

  void StepRead(Companion& aCompanion, CallResult aResult)
  {
    OrderMachine& machine = *aCompanion.mMachine;
    aCompanion.mLastSeenFence = mStoredFence.mRecord.mFence;
    if (machine.Step() == OrderStep::kRecheckFence &&
        !mMechanisms.mRechecksFence) {
      machine.OnFenceRead(
        StoredFence{ { machine.Fence(), aCompanion.mHolder }, 1 });
    } else if (aResult == CallResult::kAnswered) {
      machine.OnFenceRead(mStoredFence);
    } else {
      machine.OnFenceRead(NoResponse());
    }
  }

  void StepWrite(Companion& aCompanion, CallResult aResult)
  {
    OrderMachine& machine = *aCompanion.mMachine;
    const Write write{ machine.Next(), machine.Revision() };
    if (aResult == CallResult::kAnswered) {
      machine.OnFenceWritten(Apply(write));
      return;
    }
    if (aResult == CallResult::kResponseLost) {
      Apply(write);
    } else if (aResult == CallResult::kDelayed) {
      mDelayedWrites.push_back(write);
    }
    machine.OnFenceWritten(NoResponse());
  }

  void StepOrder(Companion& aCompanion, CallResult aResult)
  {
    OrderMachine& machine = *aCompanion.mMachine;
    const Order order{
      { aCompanion.mHolder, machine.Fence(), aCompanion.mLastSeenFence },
      aCompanion.mDesiredWeights
    };
    if (aResult == CallResult::kDelayed) {
      mDelayedOrders.push_back(order);
    } else if (aResult != CallResult::kCallLost) {
      Execute(order);
    }
    machine.OnOrderSent();
  }

  void Step(Companion& aCompanion, std::uint8_t aChoice)
  {
    if (!aCompanion.mMachine) {
      if (aCompanion.mDesiredWeights == mWeights) {
        return;
      }
      aCompanion.mHolder = std::to_string(++mOrders);
      aCompanion.mMachine =
        std::make_unique<OrderMachine>(aCompanion.mHolder, mEngineFence);
    }
    // Most calls are answered, or no order would ever be sent.
    const auto result = aChoice % 8 < 4 ? CallResult::kAnswered
                                        : static_cast<CallResult>(aChoice % 4);
    switch (aCompanion.mMachine->Step()) {
      case OrderStep::kReadFence:
      case OrderStep::kRecheckFence:
        StepRead(aCompanion, result);
        return;
      case OrderStep::kAcquireFence:
        StepWrite(aCompanion, result);
        return;
      case OrderStep::kDrain:
        aCompanion.mMachine->OnDrained();
        return;
      case OrderStep::kSendOrder:
        StepOrder(aCompanion, result);
        return;
      case OrderStep::kCompleted:
      case OrderStep::kLost:
        aCompanion.mMachine.reset();
        return;
    }
  }

  /// Continues without faults: applies the delayed effects and gives every
  /// companion the latest configuration.
  void RunWithoutFaults()
  {
    while (!mDelayedWrites.empty() || !mDelayedOrders.empty()) {
      ApplyOneDelayed();
    }
    for (int step = 0; step < kFaultFreeSteps; ++step) {
      for (Companion& companion : mCompanions) {
        companion.mDesiredWeights = mNewest;
        Step(companion, 0);
      }
    }
  }

  OrderMechanisms mMechanisms;
  History mHistory;
  std::array<Companion, kCompanions> mCompanions;
  StoredFence mStoredFence;
  std::uint64_t mRevision = 0;
  std::vector<Write> mDelayedWrites;
  std::vector<Order> mDelayedOrders;
  std::uint64_t mEngineFence = 0;
  std::uint32_t mWeights = 0;
  std::uint32_t mNewest = 1;
  int mOrders = 0;
};

RC_GTEST_PROP(GeneratedOrders,
              AnEngineThatChecksNeverExecutesAnOlderOrder,
              (const std::vector<std::uint8_t>& aSchedule))
{
  OrderSimulation simulation(OrderMechanisms{});
  const History history = simulation.Run(aSchedule);
  RC_ASSERT(CheckFencesNeverDecrease(history).empty());
  RC_ASSERT(CheckFenceHolders(history).empty());
  RC_ASSERT(simulation.HasConverged());
}

RC_GTEST_PROP(GeneratedOrders,
              AnEngineThatIgnoresTokensAlsoConverges,
              (const std::vector<std::uint8_t>& aSchedule))
{
  OrderSimulation simulation({ .mEngineChecksFences = false });
  const History history = simulation.Run(aSchedule);
  RC_ASSERT(CheckFenceHolders(history).empty());
  RC_ASSERT(simulation.HasConverged());
}

/// Disables each mechanism in turn: the checkers must find violations.
class WithoutAnOrdersMechanism : public ::testing::Test
{
protected:
  struct ViolationCounts
  {
    int mOlderTokens = 0;
    int mWrongHolders = 0;
  };

  static ViolationCounts Search(const OrderMechanisms& aMechanisms)
  {
    constexpr int kSchedules = 3000;
    ViolationCounts counts;
    ForEachSchedule(kSchedules, [&](const auto& aSchedule) {
      const History history = OrderSimulation(aMechanisms).Run(aSchedule);
      counts.mOlderTokens += CheckFencesNeverDecrease(history).empty() ? 0 : 1;
      counts.mWrongHolders += CheckFenceHolders(history).empty() ? 0 : 1;
    });
    return counts;
  }
};

TEST_F(WithoutAnOrdersMechanism, WithAllOfThemNothingIsViolated)
{
  const ViolationCounts counts = Search({});
  EXPECT_EQ(counts.mOlderTokens, 0);
  EXPECT_EQ(counts.mWrongHolders, 0);
}

TEST_F(WithoutAnOrdersMechanism, WithoutTheConditionTwoHoldOneToken)
{
  EXPECT_GT(Search({ .mIsConditional = false }).mWrongHolders, 0);
}

TEST_F(WithoutAnOrdersMechanism, WithoutTheRecheckAnOlderHolderOrders)
{
  const ViolationCounts counts =
    Search({ .mRechecksFence = false, .mEngineChecksFences = false });
  EXPECT_GT(counts.mWrongHolders, 0);
}

TEST_F(WithoutAnOrdersMechanism, WhereTokensAreIgnoredAWindowOfOneCallRemains)
{
  const ViolationCounts counts = Search({ .mEngineChecksFences = false });
  EXPECT_GT(counts.mOlderTokens, 0);
  EXPECT_EQ(counts.mWrongHolders, 0);
}

} // namespace
} // namespace shuntjunction::state::history
