// Example 4: a claim whose answer was lost: it is settled by reading back, and
// the request is handed over once.

#include <cstdio>

#include "shuntjunction/state/claim_machine.h"

using namespace shuntjunction::state;

int
main()
{
  ClaimMachine machine("my nonce", "digest of the booking");
  const auto say = [&](const char* aWhat) {
    std::printf("%-32s -> %s\n",
                aWhat,
                std::string(kClaimStepNames.Name(machine.Step())).c_str());
  };
  say("at first");
  machine.OnCreateResult(
    Fail(ErrorCode::kTimeout, "platform.write", "platform", "no answer"));
  say("the answer to the create is lost");
  machine.OnReadResult(std::optional(machine.NewRecord(0)));
  say("its own nonce stands there");
  return machine.Step() == ClaimStep::kExecute ? 0 : 1;
}
