#include <random>

#include <gtest/gtest.h>

#include "shuntjunction/state/weights_history.h"

// Tests what a process believes of the age of a model's weights.

namespace shuntjunction::state {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

} // namespace

class GivenAProcessThatJustStarted : public ::testing::Test
{
protected:
  GivenAProcessThatJustStarted() { mHistory.Learn(2, kStart); }

  WeightsHistory mHistory;
};

TEST_F(GivenAProcessThatJustStarted, TheNewestVersionIsNotSuperseded)
{
  EXPECT_EQ(mHistory.Newest(), 2U);
  EXPECT_FALSE(mHistory.SupersededFor(2, kStart + 60s));
}

TEST_F(GivenAProcessThatJustStarted, AnOlderOneMayHaveBeenSupersededAnyTimeAgo)
{
  EXPECT_EQ(mHistory.SupersededFor(1, kStart), Millis::max());
  EXPECT_EQ(LoggedMillis(mHistory.SupersededFor(1, kStart)), -1);
}

TEST_F(GivenAProcessThatJustStarted, AnotherProcessConfirmsTheOlderOne)
{
  mHistory.Confirm(1, kStart - 4s);
  EXPECT_EQ(mHistory.SupersededFor(1, kStart), 4s);
  {
    SCOPED_TRACE("an earlier confirmation changes nothing");
    mHistory.Confirm(1, kStart - 9s);
    EXPECT_EQ(mHistory.SupersededFor(1, kStart), 4s);
  }
  {
    SCOPED_TRACE("versions before it were superseded earlier");
    EXPECT_EQ(mHistory.SupersededFor(0, kStart), Millis::max());
  }
}

class ThatSeesAnotherAnnouncement : public GivenAProcessThatJustStarted
{
protected:
  ThatSeesAnotherAnnouncement()
  {
    mHistory.Confirm(2, kStart + 1s);
    mHistory.Learn(3, kStart + 2s);
  }
};

TEST_F(ThatSeesAnotherAnnouncement, TheFormerVersionAgesFromItsConfirmation)
{
  EXPECT_EQ(mHistory.SupersededFor(2, kStart + 5s), 4s);
}

TEST_F(ThatSeesAnotherAnnouncement, OlderOnesAreNotTakenForNewlySuperseded)
{
  EXPECT_EQ(mHistory.SupersededFor(1, kStart + 5s), Millis::max());
}

TEST_F(ThatSeesAnotherAnnouncement, AVersionThatWasMissedIsAsOldAsTheOneBefore)
{
  mHistory.Learn(5, kStart + 9s);
  EXPECT_EQ(mHistory.SupersededFor(4, kStart + 10s), 9s);
}

TEST_F(ThatSeesAnotherAnnouncement, AnOlderListChangesNothing)
{
  EXPECT_FALSE(mHistory.Learn(2, kStart + 3s));
  EXPECT_EQ(mHistory.Newest(), 3U);
  EXPECT_EQ(mHistory.NewestLearnedAt(), kStart + 2s);
}

namespace {

/// Processes that follow announcements, restart, are cut off and ask each
/// other.
class Fleet
{
public:
  static constexpr std::size_t kProcesses = 6;
  static constexpr Millis kStep{ 100 };

  /// @param aHasFaults  processes restart and are cut off
  Fleet(unsigned aSeed, bool aHasFaults)
    : mRandom(aSeed)
    , mHasFaults(aHasFaults)
    , mProcesses(kProcesses)
  {
    for (auto& process : mProcesses) {
      Read(process);
    }
  }

  void Step()
  {
    mNow += kStep;
    if (Chance(0.02)) {
      mAnnouncedAt.push_back(mNow);
    }
    for (auto& process : mProcesses) {
      if (mHasFaults && Chance(0.01)) {
        process = {};
      }
      if (mHasFaults && Chance(0.01)) {
        process.mCutOffUntil = mNow + Millis(Draw(12000));
      }
      if (mNow >= process.mCutOffUntil) {
        Read(process);
      }
      if (Chance(0.1)) {
        Ask(process);
      }
    }
  }

  /// By how much processes take versions for older than they are; negative: for
  /// younger.
  std::vector<Millis> Excesses() const
  {
    std::vector<Millis> excesses;
    excesses.reserve(kProcesses);
    for (const auto& process : mProcesses) {
      for (std::uint64_t version = 1; version < process.mHistory.Newest();
           ++version) {
        const auto believed = process.mHistory.SupersededFor(version, mNow);
        const auto actual =
          std::chrono::duration_cast<Millis>(mNow - mAnnouncedAt[version]);
        excesses.push_back(*believed - actual);
      }
    }
    return excesses;
  }

private:
  struct Process
  {
    WeightsHistory mHistory;
    TimePoint mCutOffUntil;
    /// When its last answer was requested; empty: there was none.
    std::optional<TimePoint> mConfirmedAt;
  };

  bool Chance(double aProbability)
  {
    return std::bernoulli_distribution(aProbability)(mRandom);
  }

  int Draw(int aMax)
  {
    return std::uniform_int_distribution<int>(0, aMax)(mRandom);
  }

  /// Reads the newest version by an answer that takes up to 300 ms.
  void Read(Process& aProcess)
  {
    const auto askedAt = mNow - Millis(Draw(300));
    const auto former = aProcess.mHistory.Newest();
    if (aProcess.mHistory.Learn(mAnnouncedAt.size(), mNow) &&
        aProcess.mConfirmedAt) {
      aProcess.mHistory.Confirm(former, *aProcess.mConfirmedAt);
    }
    aProcess.mConfirmedAt = askedAt;
  }

  /// Asks another process, which may be cut off, by an answer that takes up to
  /// 2 s.
  void Ask(Process& aProcess)
  {
    const auto& other = mProcesses[mRandom() % kProcesses];
    auto history = other.mHistory;
    if (other.mConfirmedAt) {
      history.Confirm(history.Newest(), *other.mConfirmedAt);
    }
    const auto transit = Millis(Draw(2000));
    for (const auto& confirmation : history.Confirmations(mNow)) {
      aProcess.mHistory.Confirm(confirmation.mVersion,
                                mNow - transit - confirmation.mAge);
    }
  }

  std::mt19937 mRandom;
  bool mHasFaults;
  TimePoint mNow = kStart;
  std::vector<TimePoint> mAnnouncedAt{ kStart }; ///< by version, from 1 on
  std::vector<Process> mProcesses;
};

} // namespace

TEST(GivenProcessesThatRestartAndAreCutOff, NoVersionIsTakenForYoungerThanItIs)
{
  for (unsigned seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE(seed);
    Fleet fleet(seed, true);
    for (int step = 0; step < 600; ++step) {
      fleet.Step();
      for (const auto excess : fleet.Excesses()) {
        ASSERT_GE(excess, Millis(0)) << "in step " << step;
      }
    }
  }
}

TEST(GivenProcessesInTouch, NoVersionIsTakenForMuchOlderThanItIs)
{
  // A step between two answers, and the time that an answer takes.
  constexpr Millis kMaxExcess{ 400 };
  for (unsigned seed = 1; seed <= 50; ++seed) {
    SCOPED_TRACE(seed);
    Fleet fleet(seed, false);
    // At most as many announcements as versions are remembered.
    for (int step = 0; step < 200; ++step) {
      fleet.Step();
      for (const auto excess : fleet.Excesses()) {
        ASSERT_LE(excess, kMaxExcess) << "in step " << step;
      }
    }
  }
}

TEST(GivenARestartedProcess, AskingOthersTellsItWhenVersionsWereSuperseded)
{
  WeightsHistory other;
  other.Learn(1, kStart);
  other.Confirm(1, kStart + 5s);
  other.Learn(2, kStart + 6s);
  WeightsHistory restarted;
  restarted.Learn(2, kStart + 8s);
  for (const auto& confirmation : other.Confirmations(kStart + 9s)) {
    restarted.Confirm(confirmation.mVersion, kStart + 9s - confirmation.mAge);
  }
  EXPECT_EQ(restarted.SupersededFor(1, kStart + 9s), 4s);
}

} // namespace shuntjunction::state
