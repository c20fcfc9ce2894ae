// Streams deliver each token once and in order over several attempts, and a
// truncated stream never looks complete.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "history.h"
#include "schedules.h"
#include "shuntjunction/state/stream_gate.h"

namespace shuntjunction::state::history {
namespace {

using Verdict = StreamGate::Verdict;

class GivenAnAttempt : public ::testing::Test
{
protected:
  void SetUp() override
  {
    mAttempt = { mGate.OpenAttempt(), 7 };
    mGate.Bind(7);
  }

  StreamGate mGate;
  AttemptId mAttempt;
};

TEST_F(GivenAnAttempt, TokensPassInOrder)
{
  EXPECT_EQ(mGate.Offer(mAttempt, 0, 2), Verdict::kDeliver);
  EXPECT_EQ(mGate.Offer(mAttempt, 2, 1), Verdict::kDeliver);
  EXPECT_EQ(mGate.Delivered(), 3U);
  EXPECT_TRUE(mGate.Completes(mAttempt, 3));
  EXPECT_FALSE(mGate.Completes(mAttempt, 4));
}

TEST_F(GivenAnAttempt, DuplicateTokensAreDropped)
{
  mGate.Offer(mAttempt, 0, 2);
  EXPECT_EQ(mGate.Offer(mAttempt, 0, 2), Verdict::kDrop);
  EXPECT_EQ(mGate.Offer(mAttempt, 1, 2), Verdict::kDrop);
}

TEST_F(GivenAnAttempt, AGapEndsTheAttempt)
{
  EXPECT_EQ(mGate.Offer(mAttempt, 1, 1), Verdict::kGap);
}

TEST_F(GivenAnAttempt, TokensOfAnotherIncarnationAreDropped)
{
  EXPECT_EQ(mGate.Offer({ mAttempt.mNumber, 8 }, 0, 1), Verdict::kDrop);
}

class ThatWasLost : public GivenAnAttempt
{
protected:
  void SetUp() override
  {
    GivenAnAttempt::SetUp();
    mGate.Offer(mAttempt, 0, 3);
    mGate.CloseAttempt();
  }
};

TEST_F(ThatWasLost, NothingPassesUntilTheNext)
{
  EXPECT_EQ(mGate.Offer(mAttempt, 3, 1), Verdict::kDrop);
  EXPECT_FALSE(mGate.Completes(mAttempt, 3));
}

TEST_F(ThatWasLost, TheNextResumesWhereItStopped)
{
  const AttemptId next{ mGate.OpenAttempt(), 9 };
  mGate.Bind(9);
  {
    SCOPED_TRACE("late tokens and a late end of the first are dropped");
    EXPECT_EQ(mGate.Offer(mAttempt, 3, 1), Verdict::kDrop);
    EXPECT_FALSE(mGate.Completes(mAttempt, 3));
  }
  EXPECT_EQ(mGate.Offer(next, 3, 1), Verdict::kDeliver);
  EXPECT_TRUE(mGate.Completes(next, 4));
}

/// Mechanisms that may be disabled to show that streams break without them.
struct StreamMechanisms
{
  bool mHasGate = true;   ///< attempts and offsets are checked
  bool mChecksEnd = true; ///< an end counts only after all tokens
};

/// Simulates a stream with several attempts, whose frames may be lost,
/// duplicated, late or reordered.
class StreamSimulation
{
public:
  explicit StreamSimulation(const StreamMechanisms& aMechanisms)
    : mMechanisms(aMechanisms)
  {
    for (int i = 0; i < kTokens; ++i) {
      mHistory.mExpectedTokens[1].push_back("t" + std::to_string(i));
    }
    OpenAttempt();
  }

  History Run(const std::vector<std::uint8_t>& aSchedule)
  {
    for (const std::uint8_t choice : aSchedule) {
      if (mIsOver) {
        break;
      }
      Step(choice);
    }
    if (!mIsOver) {
      mHistory.mStreams.push_back({ 1, false });
    }
    return mHistory;
  }

private:
  struct Frame
  {
    AttemptId mAttempt;
    std::uint32_t mOffset = 0;
    bool mIsEnd = false;
  };

  static constexpr int kTokens = 6;

  void OpenAttempt()
  {
    mAttempt = { mGate.OpenAttempt(), mAttempt.mIncarnation + 1 };
    mGate.Bind(mAttempt.mIncarnation);
    mSent = mGate.Delivered();
  }

  void Step(std::uint8_t aChoice)
  {
    switch (aChoice % 8) {
      case 0: // The engine crashes; the request is resumed elsewhere.
        mGate.CloseAttempt();
        OpenAttempt();
        break;
      case 1: // A frame is lost.
        if (!mInFlight.empty()) {
          mInFlight.erase(mInFlight.begin());
        }
        break;
      case 2: // A frame is duplicated.
        if (!mInFlight.empty()) {
          mInFlight.push_back(mInFlight[aChoice / 8 % mInFlight.size()]);
        }
        break;
      case 3: // Any frame arrives, out of order.
        Arrive(aChoice / 8);
        break;
      case 4:
      case 5:
        Arrive(0);
        break;
      default: // The engine sends the next token, or the end.
        mInFlight.push_back({ mAttempt, mSent, mSent == kTokens });
        mSent += mSent == kTokens ? 0 : 1;
        break;
    }
  }

  void Arrive(std::size_t aWhich)
  {
    if (mInFlight.empty()) {
      return;
    }
    const auto at = mInFlight.begin() +
                    static_cast<std::ptrdiff_t>(aWhich % mInFlight.size());
    const Frame frame = *at;
    mInFlight.erase(at);
    if (frame.mIsEnd) {
      if (Completes(frame.mAttempt)) {
        mHistory.mStreams.push_back({ 1, true });
        mIsOver = true;
      }
      return;
    }
    const Verdict verdict = mMechanisms.mHasGate
                              ? mGate.Offer(frame.mAttempt, frame.mOffset, 1)
                              : Verdict::kDeliver;
    if (verdict == Verdict::kDeliver) {
      mHistory.mTokens.push_back({ 1, "t" + std::to_string(frame.mOffset) });
    } else if (verdict == Verdict::kGap) {
      mGate.CloseAttempt();
      OpenAttempt();
    }
  }

  bool Completes(const AttemptId& aAttempt) const
  {
    if (!mMechanisms.mHasGate) {
      return true;
    }
    return mMechanisms.mChecksEnd ? mGate.Completes(aAttempt, kTokens)
                                  : mGate.Matches(aAttempt);
  }

  StreamMechanisms mMechanisms;
  History mHistory;
  StreamGate mGate;
  AttemptId mAttempt;
  std::uint32_t mSent = 0;
  std::vector<Frame> mInFlight;
  bool mIsOver = false;
};

RC_GTEST_PROP(GeneratedStreams,
              AreInOrderAndNeverLookCompleteTooEarly,
              (const std::vector<std::uint8_t>& aSchedule))
{
  RC_ASSERT(CheckStreams(StreamSimulation({}).Run(aSchedule)).empty());
}

class WithoutAStreamsMechanism : public ::testing::Test
{
protected:
  /// Number of schedules, out of 500, after which a stream had wrong, missing
  /// or misplaced tokens.
  static int CountBroken(const StreamMechanisms& aMechanisms)
  {
    int broken = 0;
    ForEachSchedule(500, [&](const auto& aSchedule) {
      const auto history = StreamSimulation(aMechanisms).Run(aSchedule);
      broken += CheckStreams(history).empty() ? 0 : 1;
    });
    return broken;
  }
};

TEST_F(WithoutAStreamsMechanism, WithAllOfThemStreamsEndAndNoneIsBroken)
{
  EXPECT_EQ(CountBroken({}), 0);
  int complete = 0;
  ForEachSchedule(500, [&](const auto& aSchedule) {
    complete +=
      StreamSimulation({}).Run(aSchedule).mStreams.front().mLooksComplete;
  });
  EXPECT_GT(complete, 0) << "the schedules must let some streams end";
}

TEST_F(WithoutAStreamsMechanism, WithoutTheGateTokensAreOutOfOrder)
{
  EXPECT_GT(CountBroken({ .mHasGate = false }), 0);
}

TEST_F(WithoutAStreamsMechanism,
       WithoutTheEndCheckATruncatedStreamLooksComplete)
{
  EXPECT_GT(CountBroken({ .mChecksEnd = false }), 0);
}

} // namespace
} // namespace shuntjunction::state::history
