#include "raw_object.h"

#include <boost/json/array.hpp>

namespace shuntjunction::state {

boost::json::object
WriteRawObject(const RawObject& aObject)
{
  return { { "key", aObject.mKey },
           { "revision", aObject.mRevision },
           { "value", aObject.mValue } };
}

std::vector<RawObject>
ReadRawObjects(JsonReader& aReader, std::string_view aKey)
{
  std::vector<RawObject> objects;
  const auto* list = aReader.Find(aKey);
  if (list == nullptr || !list->is_array()) {
    aReader.Note(aKey, "absent", "a list of objects");
    return objects;
  }
  for (const auto& item : list->as_array()) {
    JsonReader reader(item, aKey);
    RawObject object;
    object.mKey = reader.Text("key");
    object.mRevision =
      static_cast<std::uint64_t>(reader.Integer("revision", 0, INT64_MAX));
    object.mValue = reader.Text("value");
    objects.push_back(std::move(object));
    aReader.Merge(reader.Finish());
  }
  return objects;
}

} // namespace shuntjunction::state
