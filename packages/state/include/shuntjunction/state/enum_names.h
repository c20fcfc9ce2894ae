#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// Tables of names for enumerations, one table next to each enumeration.
namespace shuntjunction::state {

/// Names of an enumeration whose values count up from zero.
template<typename Enum, std::size_t Count>
struct EnumNames
{
  std::array<std::string_view, Count> mNames;

  /// Number of values.
  static constexpr std::size_t Size() { return Count; }

  /// Name of a value; "?" for a value outside the table.
  constexpr std::string_view Name(Enum aValue) const
  {
    const auto index = static_cast<std::size_t>(aValue);
    return index < Count ? mNames[index] : std::string_view("?");
  }

  /// Value with a name; empty when there is none.
  constexpr std::optional<Enum> Parse(std::string_view aName) const
  {
    for (std::size_t i = 0; i < Count; ++i) {
      if (mNames[i] == aName) {
        return static_cast<Enum>(i);
      }
    }
    return std::nullopt;
  }

  /// All names, separated by ", ", for error messages.
  std::string Allowed() const
  {
    std::string list;
    for (const auto name : mNames) {
      list += list.empty() ? "" : ", ";
      list += name;
    }
    return list;
  }
};

} // namespace shuntjunction::state
