// The story of an order to an engine: companions that each believe they may
// order, on engines that check fencing numbers and on engines that ignore them.

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "history.h"
#include "schedules.h"
#include "shuntjunction/state/order_machine.h"

namespace shuntjunction::state::history {
namespace {

/// What may be taken out, to see that the promise then breaks.
struct OrderMechanisms
{
  bool mIsConditional = true; ///< the number is taken by a conditional write
  bool mLooksAgain = true;    ///< just before the order
  bool mChecksFences = true;  ///< the engine refuses old numbers
};

/// Two companions of one endpoint, its engine and the platform.
///
/// Each byte of a schedule is one step: of a companion with an answer, a lost
/// one or a late effect; a restart; a new configuration that one has heard of.
/// One that is not stepped for long is one that was paused.
class OrderWorld
{
public:
  explicit OrderWorld(const OrderMechanisms& aMechanisms)
    : mMechanisms(aMechanisms)
  {
  }

  History Run(const std::vector<std::uint8_t>& aSchedule)
  {
    for (std::size_t i = 0; i + 1 < aSchedule.size(); i += 2) {
      const std::uint8_t how = aSchedule[i + 1];
      Companion& companion = mCompanions[aSchedule[i] / 16 % kCompanions];
      switch (aSchedule[i] % 16) {
        case 0:
          ++mNewest;
          break;
        case 1:
        case 2:
          companion.mWanted = mNewest;
          break;
        case 3:
          companion.mMachine.reset(); // It dies and begins a new life.
          break;
        case 4:
          LandOneLate();
          break;
        default:
          Step(companion, how);
          break;
      }
    }
    Settle();
    return mHistory;
  }

  /// Whether the engine came in line once the faults were over.
  bool IsInLine() const { return mWeights == mNewest; }

private:
  static constexpr std::size_t kCompanions = 2;
  static constexpr int kSettleSteps = 200;

  /// What becomes of a call.
  enum class Fate : std::uint8_t
  {
    kAnswers,
    kAnswerIsLost,
    kCallIsLost,
    kTakesEffectLater,
  };

  struct Companion
  {
    std::uint32_t mWanted = 0; ///< weights version by its configuration
    std::string mHolder;
    std::uint64_t mTakenAtLook = 0;
    std::unique_ptr<OrderMachine> mMachine;
  };
  struct Order
  {
    Obeyed mObeyed;
    std::uint32_t mWeights = 0;
  };
  struct Write
  {
    FenceRecord mRecord;
    std::uint64_t mIfRevision = 0;
  };

  static tl::unexpected<Error> NoAnswer()
  {
    return Fail(ErrorCode::kTimeout, "test", "platform", "no answer");
  }

  Result<std::uint64_t> Apply(const Write& aWrite)
  {
    if (mMechanisms.mIsConditional && aWrite.mIfRevision != mHeld.mRevision) {
      return Fail(ErrorCode::kConflict, "test", "platform", "changed");
    }
    mHeld = { aWrite.mRecord, ++mRevision };
    return mRevision;
  }

  void Obey(const Order& aOrder)
  {
    if (mMechanisms.mChecksFences && aOrder.mObeyed.mFence < mEngineFence) {
      return;
    }
    mEngineFence = std::max(mEngineFence, aOrder.mObeyed.mFence);
    mWeights = aOrder.mWeights;
    mHistory.mObeyed.push_back(aOrder.mObeyed);
  }

  void LandOneLate()
  {
    if (!mLateWrites.empty()) {
      Apply(mLateWrites.back());
      mLateWrites.pop_back();
    } else if (!mLateOrders.empty()) {
      Obey(mLateOrders.back());
      mLateOrders.pop_back();
    }
  }

  void StepRead(Companion& aCompanion, Fate aFate)
  {
    OrderMachine& machine = *aCompanion.mMachine;
    aCompanion.mTakenAtLook = mHeld.mRecord.mFence;
    if (machine.Step() == OrderStep::kRecheckFence &&
        !mMechanisms.mLooksAgain) {
      machine.OnFenceRead(
        StoredFence{ { machine.Fence(), aCompanion.mHolder }, 1 });
    } else if (aFate == Fate::kAnswers) {
      machine.OnFenceRead(mHeld);
    } else {
      machine.OnFenceRead(NoAnswer());
    }
  }

  void StepWrite(Companion& aCompanion, Fate aFate)
  {
    OrderMachine& machine = *aCompanion.mMachine;
    const Write write{ machine.Next(), machine.Revision() };
    if (aFate == Fate::kAnswers) {
      machine.OnFenceWritten(Apply(write));
      return;
    }
    if (aFate == Fate::kAnswerIsLost) {
      Apply(write);
    } else if (aFate == Fate::kTakesEffectLater) {
      mLateWrites.push_back(write);
    }
    machine.OnFenceWritten(NoAnswer());
  }

  void StepOrder(Companion& aCompanion, Fate aFate)
  {
    OrderMachine& machine = *aCompanion.mMachine;
    const Order order{
      { aCompanion.mHolder, machine.Fence(), aCompanion.mTakenAtLook },
      aCompanion.mWanted
    };
    if (aFate == Fate::kTakesEffectLater) {
      mLateOrders.push_back(order);
    } else if (aFate != Fate::kCallIsLost) {
      Obey(order);
    }
    machine.OnOrderSent();
  }

  void Step(Companion& aCompanion, std::uint8_t aChoice)
  {
    if (!aCompanion.mMachine) {
      if (aCompanion.mWanted == mWeights) {
        return;
      }
      aCompanion.mHolder = std::to_string(++mOrders);
      aCompanion.mMachine =
        std::make_unique<OrderMachine>(aCompanion.mHolder, mEngineFence);
    }
    // Most calls are answered, or nothing would ever be ordered.
    const auto fate =
      aChoice % 8 < 4 ? Fate::kAnswers : static_cast<Fate>(aChoice % 4);
    switch (aCompanion.mMachine->Step()) {
      case OrderStep::kReadFence:
      case OrderStep::kRecheckFence:
        StepRead(aCompanion, fate);
        return;
      case OrderStep::kAcquireFence:
        StepWrite(aCompanion, fate);
        return;
      case OrderStep::kDrain:
        aCompanion.mMachine->OnDrained();
        return;
      case OrderStep::kSendOrder:
        StepOrder(aCompanion, fate);
        return;
      case OrderStep::kCompleted:
      case OrderStep::kLost:
        aCompanion.mMachine.reset();
        return;
    }
  }

  /// The faults end: what was late lands, and all hear the newest.
  void Settle()
  {
    while (!mLateWrites.empty() || !mLateOrders.empty()) {
      LandOneLate();
    }
    for (int step = 0; step < kSettleSteps; ++step) {
      for (Companion& companion : mCompanions) {
        companion.mWanted = mNewest;
        Step(companion, 0);
      }
    }
  }

  OrderMechanisms mMechanisms;
  History mHistory;
  std::array<Companion, kCompanions> mCompanions;
  StoredFence mHeld;
  std::uint64_t mRevision = 0;
  std::vector<Write> mLateWrites;
  std::vector<Order> mLateOrders;
  std::uint64_t mEngineFence = 0;
  std::uint32_t mWeights = 0;
  std::uint32_t mNewest = 1;
  int mOrders = 0;
};

RC_GTEST_PROP(GeneratedOrders,
              AnEngineThatChecksNeverObeysAnOlderHolder,
              (const std::vector<std::uint8_t>& aSchedule))
{
  OrderWorld world(OrderMechanisms{});
  const History history = world.Run(aSchedule);
  RC_ASSERT(CheckFencesRise(history).empty());
  RC_ASSERT(CheckOneHolderOrders(history).empty());
  RC_ASSERT(world.IsInLine());
}

RC_GTEST_PROP(GeneratedOrders,
              AnEngineThatIgnoresNumbersComesInLineAllTheSame,
              (const std::vector<std::uint8_t>& aSchedule))
{
  OrderWorld world({ .mChecksFences = false });
  const History history = world.Run(aSchedule);
  RC_ASSERT(CheckOneHolderOrders(history).empty());
  RC_ASSERT(world.IsInLine());
}

/// Each mechanism taken out in turn: the checkers must find the harm.
class WithoutAnOrdersMechanism : public ::testing::Test
{
protected:
  struct Found
  {
    int mOlderObeyed = 0;
    int mOthersNumber = 0;
  };

  static Found Search(const OrderMechanisms& aMechanisms)
  {
    constexpr int kSchedules = 3000;
    Found found;
    ForEachSchedule(kSchedules, [&](const auto& aSchedule) {
      const History history = OrderWorld(aMechanisms).Run(aSchedule);
      found.mOlderObeyed += CheckFencesRise(history).empty() ? 0 : 1;
      found.mOthersNumber += CheckOneHolderOrders(history).empty() ? 0 : 1;
    });
    return found;
  }
};

TEST_F(WithoutAnOrdersMechanism, NoneTakenOutNoneIsBroken)
{
  const Found found = Search({});
  EXPECT_EQ(found.mOlderObeyed, 0);
  EXPECT_EQ(found.mOthersNumber, 0);
}

TEST_F(WithoutAnOrdersMechanism, WithoutTheConditionTwoHoldANumber)
{
  EXPECT_GT(Search({ .mIsConditional = false }).mOthersNumber, 0);
}

TEST_F(WithoutAnOrdersMechanism, WithoutTheLookAnOlderHolderOrders)
{
  const Found found = Search({ .mLooksAgain = false, .mChecksFences = false });
  EXPECT_GT(found.mOthersNumber, 0);
}

TEST_F(WithoutAnOrdersMechanism, WhereNumbersAreIgnoredOneCallIsLeft)
{
  const Found found = Search({ .mChecksFences = false });
  EXPECT_GT(found.mOlderObeyed, 0);
  EXPECT_EQ(found.mOthersNumber, 0);
}

} // namespace
} // namespace shuntjunction::state::history
