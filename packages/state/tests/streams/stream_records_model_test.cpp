#include <array>
#include <deque>
#include <set>
#include <tuple>

#include <gtest/gtest.h>

#include "shuntjunction/state/streams/stream_origin.h"

// Explores all states of one stream, its record at two companions, the stored
// history of versions, and a relay at which its caller resumes it, while
// processes restart, messages are lost and a version replaces another.

namespace shuntjunction::state {
namespace {

/// What the list shows: the old version, both, or the new one.
enum class Listing : std::uint8_t
{
  kOld,
  kBoth,
  kNew,
};

constexpr std::array<const char*, 2> kVersions{ "v1", "v2" };

/// A set of versions, one bit each; 0: no history is stored, or was read.
using Versions = std::uint8_t;

Versions
VersionsOf(Listing aListing)
{
  constexpr std::array<Versions, 3> kListed{ 1, 3, 2 };
  return kListed[static_cast<std::size_t>(aListing)];
}

/// What a process has seen of the list since its start.
struct Sight
{
  Listing mNow = Listing::kOld;
  bool mHasSeenBoth = false;  ///< within the lifetime of the stream
  bool mHasRestarted = false; ///< within it

  auto operator<=>(const Sight&) const = default;

  std::optional<std::string> OnlyVersion() const
  {
    if (mNow == Listing::kBoth || mHasSeenBoth) {
      return std::nullopt;
    }
    return kVersions[mNow == Listing::kOld ? 0 : 1];
  }

  void Learn(Listing aListing)
  {
    // A list between two that it received does not matter.
    mHasSeenBoth =
      mHasSeenBoth || aListing == Listing::kBoth || aListing != mNow;
    mNow = aListing;
  }

  void Restart(Listing aListing)
  {
    *this = { aListing, aListing == Listing::kBoth, true };
  }
};

struct Companion
{
  Sight mSight;
  bool mHoldsRecord = false;

  auto operator<=>(const Companion&) const = default;
};

struct World
{
  Listing mListing = Listing::kOld;
  Sight mFirst;  ///< the relay at which the stream begins
  Sight mSecond; ///< the relay at which it is resumed
  std::array<Companion, 2> mCompanions;
  int mOrigin = -1; ///< index of its version; -1: it has not begun
  bool mIsFirstAlive = true;
  Versions mStored = 0; ///< the history in the store
  Versions mRead = 0;   ///< as the second relay read it since its start

  auto operator<=>(const World&) const = default;
};

/// Ways to break the mechanism, which the checker must notice.
struct Mutation
{
  bool mGuesses = false;       ///< an unknown origin is any listed version
  bool mTrustsOwnList = false; ///< however short it was followed
  bool mTrustsOutdatedList = false;
  bool mTrustsRestartedCompanions = false;
  bool mBeginsUnrecorded = false; ///< at a version that is not in the history
  bool mForgetsTooEarly = false;  ///< versions that are not listed any more
  /// An outdated list is trusted once all companions have replied.
  bool mTrustsRepliesOfAll = false;
  bool mLosesNoWrites = false; ///< each record reaches its companions
};

class Model
{
public:
  explicit Model(const Mutation& aMutation)
    : mMutation(aMutation)
  {
  }

  /// Explores all states; returns the number of those in which the stream went
  /// on at another version.
  int Explore()
  {
    std::deque<World> open{ World() };
    std::set<World> seen{ World() };
    while (!open.empty()) {
      const auto world = open.front();
      open.pop_front();
      Check(world);
      for (const auto& next : Successors(world)) {
        if (seen.insert(next).second) {
          open.push_back(next);
        }
      }
    }
    mStates = seen.size();
    return mHarms;
  }

  std::size_t States() const { return mStates; }
  /// Times that the stream could be resumed, and those at which its origin was
  /// known, while one companion had lost its record and the other had not.
  int Asked() const { return mAsked; }
  int Known() const { return mKnown; }

private:
  static bool Has(Listing aListing, int aVersion)
  {
    return aListing == Listing::kBoth ||
           (aListing == Listing::kOld) == (aVersion == 0);
  }

  /// A relay writes records once it does not see a single version.
  static void Write(World& aWorld, unsigned aReached)
  {
    for (unsigned i = 0; i < 2; ++i) {
      if ((aReached & (1U << i)) != 0) {
        aWorld.mCompanions[i].mHoldsRecord = true;
      }
    }
  }

  std::vector<World> Successors(const World& aWorld) const
  {
    std::vector<World> next;
    const auto add = [&](auto aChange) {
      next.push_back(aWorld);
      aChange(next.back());
    };
    if (aWorld.mListing != Listing::kNew) {
      add([](World& aNext) {
        aNext.mListing =
          aNext.mListing == Listing::kOld ? Listing::kBoth : Listing::kNew;
      });
    }
    add([](World& aNext) { aNext.mSecond.Learn(aNext.mListing); });
    add([](World& aNext) {
      aNext.mSecond.Restart(aNext.mListing);
      aNext.mRead = 0;
    });
    add([this](World& aNext) {
      const auto listed = VersionsOf(aNext.mSecond.mNow);
      aNext.mStored |= listed;
      if (mMutation.mForgetsTooEarly) {
        aNext.mStored = listed;
      }
    });
    add([](World& aNext) { aNext.mRead = aNext.mStored; });
    for (unsigned i = 0; i < 2; ++i) {
      add([i](World& aNext) {
        aNext.mCompanions[i].mSight.Learn(aNext.mListing);
      });
      add([i](World& aNext) {
        aNext.mCompanions[i].mHoldsRecord = false;
        aNext.mCompanions[i].mSight.Restart(aNext.mListing);
      });
    }
    AddStepsOfFirst(aWorld, next);
    return next;
  }

  void AddStepsOfFirst(const World& aWorld, std::vector<World>& aNext) const
  {
    if (!aWorld.mIsFirstAlive) {
      return;
    }
    auto killed = aWorld;
    killed.mIsFirstAlive = false;
    aNext.push_back(killed);
    auto stored = aWorld;
    stored.mStored |= VersionsOf(stored.mFirst.mNow);
    aNext.push_back(stored);
    // Any of the writes may be lost.
    const unsigned fewest = mMutation.mLosesNoWrites ? 3 : 0;
    for (unsigned reached = fewest; reached < 4; ++reached) {
      auto learned = aWorld;
      learned.mFirst.Learn(learned.mListing);
      if (learned.mOrigin >= 0 && !learned.mFirst.OnlyVersion()) {
        Write(learned, reached);
      }
      aNext.push_back(learned);
      for (int version = 0; version < 2 && aWorld.mOrigin < 0; ++version) {
        const bool isRecorded = (aWorld.mStored & (1U << version)) != 0;
        if (Has(aWorld.mFirst.mNow, version) && Has(aWorld.mListing, version) &&
            (isRecorded || mMutation.mBeginsUnrecorded)) {
          auto begun = aWorld;
          begun.mOrigin = version;
          if (!begun.mFirst.OnlyVersion()) {
            Write(begun, reached);
          }
          aNext.push_back(begun);
        }
      }
    }
  }

  static std::optional<std::string> StoredVersion(Versions aRead)
  {
    if (aRead != 1 && aRead != 2) {
      return std::nullopt;
    }
    return kVersions[aRead - 1U];
  }

  /// What the second relay learns if it reaches some of the companions.
  StreamLookup Find(const World& aWorld, unsigned aReached, bool aIsFresh) const
  {
    const bool isTrusted = aIsFresh || mMutation.mTrustsOutdatedList ||
                           (mMutation.mTrustsRepliesOfAll && aReached == 3);
    const auto only = isTrusted ? aWorld.mSecond.OnlyVersion() : std::nullopt;
    const bool isHistoryKnown =
      !aWorld.mSecond.mHasRestarted || mMutation.mTrustsOwnList;
    OriginEvidence evidence{
      only, StoredVersion(aWorld.mRead), {}, isHistoryKnown
    };
    for (unsigned i = 0; i < 2; ++i) {
      const auto& companion = aWorld.mCompanions[i];
      if ((aReached & (1U << i)) != 0) {
        evidence.mReplies.push_back(
          { companion.mHoldsRecord
              ? StreamLookup{ StreamKnowledge::kKnown,
                              kVersions[static_cast<std::size_t>(
                                aWorld.mOrigin)] }
              : StreamLookup{},
            companion.mSight.OnlyVersion(),
            !companion.mSight.mHasRestarted ||
              mMutation.mTrustsRestartedCompanions });
      }
    }
    auto found = JudgeOrigin(evidence);
    if (mMutation.mGuesses && found.mKnowledge == StreamKnowledge::kUnknown) {
      found = { StreamKnowledge::kKnown,
                kVersions[aWorld.mSecond.mNow == Listing::kNew ? 1 : 0] };
    }
    return found;
  }

  void Check(const World& aWorld)
  {
    if (aWorld.mOrigin < 0) {
      return;
    }
    const bool isFresh = aWorld.mSecond.mNow == aWorld.mListing;
    for (unsigned reached = 0; reached < 4; ++reached) {
      const auto found = Find(aWorld, reached, isFresh);
      const bool isKnown = found.mKnowledge == StreamKnowledge::kKnown;
      const auto origin = static_cast<std::size_t>(aWorld.mOrigin);
      mHarms += isKnown && found.mVersion != kVersions[origin] ? 1 : 0;
      const bool isOneLost = aWorld.mCompanions[0].mHoldsRecord !=
                             aWorld.mCompanions[1].mHoldsRecord;
      if (isOneLost && reached == 3) {
        ++mAsked;
        mKnown += isKnown ? 1 : 0;
      }
    }
  }

  Mutation mMutation;
  std::size_t mStates = 0;
  int mHarms = 0;
  int mAsked = 0;
  int mKnown = 0;
};

TEST(TheModelOfStreamRecords, NoStreamGoesOnAtAnotherVersion)
{
  Model model{ {} };
  EXPECT_EQ(model.Explore(), 0);
  EXPECT_GT(model.States(), 1000U);
}

TEST(TheModelOfStreamRecords, ALostHolderLosesNoStream)
{
  Model model{ {} };
  model.Explore();
  EXPECT_GT(model.Asked(), 0);
  EXPECT_EQ(model.Known(), model.Asked());
}

TEST(TheModelOfStreamRecords, TheCheckerFindsAVersionThatIsGuessed)
{
  EXPECT_GT(Model({ .mGuesses = true }).Explore(), 0);
}

TEST(TheModelOfStreamRecords, TheCheckerFindsARestartedRelayThatTrustsItsList)
{
  EXPECT_GT(Model({ .mTrustsOwnList = true }).Explore(), 0);
}

TEST(TheModelOfStreamRecords, TheCheckerFindsRestartedCompanionsThatAreTrusted)
{
  EXPECT_GT(Model({ .mTrustsRestartedCompanions = true }).Explore(), 0);
}

TEST(TheModelOfStreamRecords, TheCheckerFindsAVersionThatIsNotRecorded)
{
  EXPECT_GT(Model({ .mBeginsUnrecorded = true }).Explore(), 0);
}

TEST(TheModelOfStreamRecords, TheCheckerFindsAVersionThatIsForgottenTooEarly)
{
  EXPECT_GT(Model({ .mForgetsTooEarly = true }).Explore(), 0);
}

TEST(TheModelOfStreamRecords, TheCheckerFindsAnOutdatedListThatIsTrusted)
{
  EXPECT_GT(Model({ .mTrustsOutdatedList = true }).Explore(), 0);
}

TEST(TheModelOfStreamRecords, WhereNoRecordIsLostRepliesMakeUpForAnOutdatedList)
{
  EXPECT_EQ(
    Model({ .mTrustsRepliesOfAll = true, .mLosesNoWrites = true }).Explore(),
    0);
}

TEST(TheModelOfStreamRecords, TheCheckerFindsALostRecordBesideAnOutdatedList)
{
  EXPECT_GT(Model({ .mTrustsRepliesOfAll = true }).Explore(), 0);
}

} // namespace
} // namespace shuntjunction::state
