// Example 3: admission queue of a companion. Urgent requests run first, teams
// share the slots fairly, and requests that cannot meet their deadline are
// refused immediately.

#include <cstdio>

#include "shuntjunction/state/admission_queue.h"

using namespace shuntjunction::state;

int
main()
{
  ManualClock clock;
  AdmissionQueue queue({ .mSlots = 1 });
  std::uint64_t last = 0;
  const auto enqueue =
    [&](Priority aPriority, const char* aTeam, Millis aDeadline) {
      AdmissionTicket ticket;
      ticket.mId = ++last;
      ticket.mPriority = aPriority;
      ticket.mTeam = aTeam;
      ticket.mCostMicros = 50000;
      ticket.mArrived = clock.Now();
      ticket.mDeadline = clock.Now() + aDeadline;
      for (const auto& refusal : queue.Enqueue(ticket, clock.Now())) {
        std::printf(
          "%llu refused: %s, retry after %lld ms\n",
          static_cast<unsigned long long>(refusal.mId),
          std::string(kRefusalReasonNames.Name(refusal.mReason)).c_str(),
          static_cast<long long>(refusal.mRetryAfter.count()));
      }
    };
  for (int i = 0; i < 5; ++i) {
    enqueue(Priority::kOrdinary, "large", std::chrono::seconds(10));
  }
  enqueue(Priority::kOrdinary, "small", std::chrono::seconds(10));
  enqueue(Priority::kUrgent, "large", std::chrono::seconds(10));
  enqueue(Priority::kOrdinary, "hasty", Millis(100));
  while (const auto next = queue.Next(clock.Now())) {
    std::printf("%llu runs: %s of team %s\n",
                static_cast<unsigned long long>(next->mId),
                std::string(kPriorityNames.Name(next->mPriority)).c_str(),
                next->mTeam.c_str());
    queue.Remove(next->mId);
  }
  return queue.Queued() == 0 ? 0 : 1;
}
