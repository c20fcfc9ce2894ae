#pragma once

// Internal to the state package.

#include "shuntjunction/state/endpoint_chooser.h"

namespace shuntjunction::state {

/// Chooses endpoints uniformly at random.
class RandomChooser final : public EndpointChooser
{
public:
  explicit RandomChooser(RandomSource& aRandom)
    : mRandom(aRandom)
  {
  }

  std::vector<EndpointHandle> Candidates(
    const ChoiceQuery& aQuery,
    std::span<const EndpointHandle> aUsable,
    std::size_t aLimit,
    TimePoint aNow) override;
  bool ProbesFirst(const ChoiceQuery&) const override { return false; }

private:
  RandomSource& mRandom;
};

/// Chooses the endpoints with the least known load.
class LeastLoadChooser final : public EndpointChooser
{
public:
  /// @param aSample  number of random endpoints to compare; 0: all
  LeastLoadChooser(const EndpointTable& aTable,
                   RandomSource& aRandom,
                   std::size_t aSample)
    : mTable(aTable)
    , mRandom(aRandom)
    , mSample(aSample)
  {
  }

  std::vector<EndpointHandle> Candidates(
    const ChoiceQuery& aQuery,
    std::span<const EndpointHandle> aUsable,
    std::size_t aLimit,
    TimePoint aNow) override;
  bool ProbesFirst(const ChoiceQuery&) const override { return false; }

private:
  const EndpointTable& mTable;
  RandomSource& mRandom;
  std::size_t mSample;
};

/// Chooses by the rendezvous order of the outermost prompt level, whatever the
/// load.
class RendezvousChooser final : public EndpointChooser
{
public:
  explicit RendezvousChooser(const EndpointTable& aTable)
    : mTable(aTable)
  {
  }

  std::vector<EndpointHandle> Candidates(
    const ChoiceQuery& aQuery,
    std::span<const EndpointHandle> aUsable,
    std::size_t aLimit,
    TimePoint aNow) override;
  bool ProbesFirst(const ChoiceQuery&) const override { return false; }

private:
  const EndpointTable& mTable;
};

} // namespace shuntjunction::state
