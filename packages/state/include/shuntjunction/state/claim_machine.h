#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "shuntjunction/state/enum_names.h"
#include "shuntjunction/state/error.h"

/// The claim that lets a not-repeatable request run at most once.
namespace shuntjunction::state {

/// A claim as it stands in the platform.
struct ClaimRecord
{
  std::string mNonce;      ///< of the claimant
  std::string mBodyDigest; ///< SHA-256 of the request
  std::int64_t mCreatedAtMillis = 0;
  bool mIsDone = false; ///< the outcome below is recorded
  unsigned mStatus = 0;
  std::string mContentType;
  std::string mBody;
  std::string mFinishReason;
  std::uint32_t mTokens = 0;

  bool operator==(const ClaimRecord&) const = default;
};

/// A record as JSON text, and back.
std::string
WriteClaimRecord(const ClaimRecord& aRecord);
Result<ClaimRecord>
ReadClaimRecord(std::string_view aText);

/// What the owner of a ClaimMachine is to do next.
enum class ClaimStep : std::uint8_t
{
  kCreate,      ///< create the record, on condition that none exists
  kReadBack,    ///< read the record
  kExecute,     ///< the claim is held: hand the request over, once
  kReplay,      ///< answer with the recorded outcome
  kHeldByOther, ///< another holds the claim and its outcome is not recorded
  kKeyReused,   ///< the key was used with another body
  kUndecided,   ///< refuse, not run; clear up what may have been written
};

/// Names of ClaimStep.
inline constexpr EnumNames<ClaimStep, 7> kClaimStepNames{ { "create",
                                                            "read-back",
                                                            "hand-over",
                                                            "replay",
                                                            "taken",
                                                            "key-reused",
                                                            "undecided" } };

/// Decides a claim from the platform's answers, lost ones included.
///
///     create --ok--> hand over
///     create --conflict or no answer--> read back
///     read back --own nonce--> hand over
///     read back --other nonce--> replay, taken, or key reused
///     read back --absent--> create again (it is conditional)
///     any --out of time--> undecided
///
/// The request is handed over only in kExecute, which is entered at most
/// once and never left. A create whose answer was lost may still take effect
/// after kUndecided; nothing was run then, so the record may be deleted.
/// Thread safety: none; owned by the request.
class ClaimMachine
{
public:
  ClaimMachine(std::string aNonce, std::string aBodyDigest);
  ~ClaimMachine();
  ClaimMachine(const ClaimMachine&) = delete;
  ClaimMachine& operator=(const ClaimMachine&) = delete;

  /// What to do now.
  ClaimStep Step() const;

  /// Takes the answer to a create.
  void OnCreateResult(const Result<std::uint64_t>& aRevision);

  /// Takes the answer to a read; empty when there is no record.
  void OnReadResult(const Result<std::optional<ClaimRecord>>& aRecord);

  /// No time is left to settle the claim.
  void OnTimeout();

  /// Whether a create may have taken effect, now or later.
  bool MayHaveWritten() const;

  /// The other's record, in kReplay, kHeldByOther and kKeyReused.
  const ClaimRecord& ExistingRecord() const;

  /// The record to create.
  ClaimRecord NewRecord(std::int64_t aNowMillis) const;

private:
  struct Machine;
  std::unique_ptr<Machine> mMachine;
};

} // namespace shuntjunction::state
