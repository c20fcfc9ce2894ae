#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "shuntjunction/state/enum_names.h"
#include "shuntjunction/state/error.h"

/// Claims that let a non-repeatable request run at most once.
namespace shuntjunction::state {

/// A claim as stored in the platform.
struct ClaimRecord
{
  std::string mNonce;      ///< identifies the claimant
  std::string mBodyDigest; ///< SHA-256 of the request
  std::int64_t mCreatedAtMillis = 0;
  bool mIsDone = false; ///< the outcome fields below are set
  unsigned mStatus = 0;
  std::string mContentType;
  std::string mBody;
  std::string mFinishReason;
  std::uint32_t mTokens = 0;

  bool operator==(const ClaimRecord&) const = default;
};

/// Serializes a record to JSON, and parses it.
std::string
WriteClaimRecord(const ClaimRecord& aRecord);
Result<ClaimRecord>
ReadClaimRecord(std::string_view aText);

/// The next action for the owner of a ClaimMachine.
enum class ClaimStep : std::uint8_t
{
  kCreate,      ///< create the record if none exists
  kReadBack,    ///< read the record
  kExecute,     ///< the claim is held: execute the request, once
  kReplay,      ///< answer with the recorded outcome
  kHeldByOther, ///< another claimant holds it and has recorded no outcome
  kKeyReused,   ///< the key was used with another body
  kUndecided,   ///< refuse as not run; delete what may have been written
};

/// Names of ClaimStep.
inline constexpr EnumNames<ClaimStep, 7> kClaimStepNames{ { "create",
                                                            "read-back",
                                                            "hand-over",
                                                            "replay",
                                                            "taken",
                                                            "key-reused",
                                                            "undecided" } };

/// State machine that decides a claim from the platform's responses, some of
/// which may be lost.
///
///     create --ok--> execute
///     create --conflict or no response--> read back
///     read back --own nonce--> execute
///     read back --other nonce--> replay, held by other, or key reused
///     read back --absent--> create again (it is conditional)
///     create or read back --timeout--> undecided
///
/// The request is executed only in kExecute, which is entered at most once and
/// never left. A create whose response was lost may still take effect after
/// kUndecided; nothing has been executed by then, so the record may be deleted.
/// Thread safety: none; owned by the request.
class ClaimMachine
{
public:
  ClaimMachine(std::string aNonce, std::string aBodyDigest);
  ~ClaimMachine();
  ClaimMachine(const ClaimMachine&) = delete;
  ClaimMachine& operator=(const ClaimMachine&) = delete;

  /// The next action.
  ClaimStep Step() const;

  /// Handles the response to a create.
  void OnCreateResult(const Result<std::uint64_t>& aRevision);

  /// Handles the response to a read; empty when there is no record.
  void OnReadResult(const Result<std::optional<ClaimRecord>>& aRecord);

  /// Gives up: no time is left to settle the claim.
  void OnTimeout();

  /// Whether a create took effect, or may still do so.
  bool MayHaveWritten() const;

  /// The other claimant's record, in kReplay, kHeldByOther and kKeyReused.
  const ClaimRecord& ExistingRecord() const;

  /// The record to create.
  ClaimRecord NewRecord(std::int64_t aNowMillis) const;

private:
  struct Machine;
  std::unique_ptr<Machine> mMachine;
};

} // namespace shuntjunction::state
