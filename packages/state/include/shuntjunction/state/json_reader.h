#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "shuntjunction/state/error.h"

/// Checked reading of JSON objects: every error names the key, what was found
/// and what is allowed.
namespace shuntjunction::state {

/// Parses JSON text; comments and trailing commas are allowed.
///
/// @param aWhat  what the text is, for the error ("settings file a.json")
Result<boost::json::value>
ParseJson(std::string_view aText, std::string_view aWhat);

/// The same of a text that several others wrote parts of: bytes that are no
/// text, and deep nesting, spoil the part that they stand in and no other.
///
/// Thread safety: pure.
Result<boost::json::value>
ParseUntrustedJson(std::string_view aText, std::string_view aWhat);

/// Reads the members of one object and remembers the first error.
///
/// Read every known key, then call Finish: it also refuses keys that nobody
/// asked for.
/// Thread safety: none.
class JsonReader
{
public:
  /// @param aPath  where the object stands, as "teams/riga" or ""
  /// @pre   aValue outlives the reader
  JsonReader(const boost::json::value& aValue, std::string_view aPath);
  JsonReader(boost::json::value&& aValue, std::string_view aPath) = delete;

  /// A text; aDefault when the key is absent, an error when that is empty.
  std::string Text(std::string_view aKey,
                   std::optional<std::string> aDefault = std::nullopt);

  /// A whole number within bounds.
  std::int64_t Integer(std::string_view aKey,
                       std::int64_t aMin,
                       std::int64_t aMax,
                       std::optional<std::int64_t> aDefault = std::nullopt);

  /// A number within bounds.
  double Number(std::string_view aKey,
                double aMin,
                double aMax,
                std::optional<double> aDefault = std::nullopt);

  /// True or false.
  bool Flag(std::string_view aKey, std::optional<bool> aDefault = std::nullopt);

  /// A list of texts; empty when absent.
  std::vector<std::string> Texts(std::string_view aKey);

  /// A value of an enumeration by its name.
  template<typename Enum, std::size_t Count>
  Enum Name(std::string_view aKey,
            const EnumNames<Enum, Count>& aNames,
            std::optional<Enum> aDefault = std::nullopt)
  {
    std::optional<std::string> fallback;
    if (aDefault) {
      fallback = std::string(aNames.Name(*aDefault));
    }
    const std::string text = Text(aKey, fallback);
    const auto value = aNames.Parse(text);
    if (!value) {
      AddError(aKey, "\"" + text + "\"", "one of " + aNames.Allowed());
    }
    return value.value_or(Enum{});
  }

  /// The value of a key; null when absent.
  const boost::json::value* Find(std::string_view aKey);

  /// Notes an error of a key.
  void AddError(std::string_view aKey,
                std::string_view aFound,
                std::string_view aAllowed);

  /// Takes over the error of a nested reader, if it has one.
  void Merge(const Result<void>& aNested);

  /// Where a key stands, as errors name it.
  std::string KeyPath(std::string_view aKey) const;

  /// The first error, or success; refuses unknown keys.
  Result<void> Finish();

  /// The first error, or success; passes over unknown keys, for objects that
  /// others write and may add to.
  Result<void> FinishLenient() const;

private:
  const boost::json::object* mObject = nullptr;
  std::string mPath;
  std::vector<std::string> mKnown;
  std::optional<Error> mError;
};

/// Reads each object of a list that has to be there and holds nothing else.
///
/// @param aRead  called with a reader of each
template<typename Function>
void
ReadList(JsonReader& aReader, std::string_view aKey, Function aRead)
{
  const auto* list = aReader.Find(aKey);
  if (list == nullptr || !list->is_array()) {
    aReader.AddError(aKey, "absent", "a list of objects");
    return;
  }
  for (const auto& item : list->as_array()) {
    JsonReader reader(item, aKey);
    aRead(reader);
    aReader.Merge(reader.Finish());
  }
}

} // namespace shuntjunction::state
