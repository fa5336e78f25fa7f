// Typed ids and an object pool that is indexed by them.
#ifndef TARRAGONDRIFT_CORE_POOL_H_
#define TARRAGONDRIFT_CORE_POOL_H_

#include <cassert>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <utility>
#include <vector>

namespace tarragondrift {

/// An index that is typed by the kind of object it refers to. The generation
/// distinguishes the objects that occupy the same slot of a pool over time.
template <class Tag>
struct typed_id {
  static constexpr uint32_t kNone = std::numeric_limits<uint32_t>::max();

  uint32_t index = kNone;
  uint32_t generation = 0;

  bool Valid() const { return index != kNone; }
  auto operator<=>(const typed_id&) const = default;
};

/// Hash of typed ids for unordered containers.
struct typed_id_hash {
  template <class Tag>
  size_t operator()(const typed_id<Tag>& id) const {
    constexpr int kIndexBits = 32;
    return std::hash<uint64_t>()(
        (static_cast<uint64_t>(id.generation) << kIndexBits) | id.index);
  }
};

/// Objects in one array, indexed by typed ids. A freed slot is reused with a
/// new generation, so that a stale id finds no object.
template <class T, class Id>
class pool {
 public:
  /// Stores an object.
  /// @return its id, which is valid until Erase.
  Id Insert(T value) {
    if (free_.empty()) {
      slots_.push_back(slot{std::move(value), 0, true});
      return Id{static_cast<uint32_t>(slots_.size() - 1), 0};
    }
    const uint32_t index = free_.back();
    free_.pop_back();
    slot& reused = slots_[index];
    reused.value = std::move(value);
    reused.used = true;
    return Id{index, reused.generation};
  }

  /// Finds an object.
  /// @return nullptr when the id is stale or invalid.
  T* Find(Id id) { return Holds(id) ? &slots_[id.index].value : nullptr; }
  const T* Find(Id id) const {
    return Holds(id) ? &slots_[id.index].value : nullptr;
  }

  /// Returns the object of an id, which must be valid.
  T& Get(Id id) {
    assert(Holds(id));
    return slots_[id.index].value;
  }
  const T& Get(Id id) const {
    assert(Holds(id));
    return slots_[id.index].value;
  }

  /// Erases the object of an id, which must be valid, and frees its slot.
  void Erase(Id id) {
    assert(Holds(id));
    slot& erased = slots_[id.index];
    erased.value = T{};
    erased.used = false;
    ++erased.generation;
    free_.push_back(id.index);
  }

  /// Calls visit(id, object) for each live object in index order.
  template <class Visit>
  void ForEach(Visit visit) {
    for (uint32_t index = 0; index < slots_.size(); ++index) {
      if (slots_[index].used) {
        visit(Id{index, slots_[index].generation}, slots_[index].value);
      }
    }
  }
  template <class Visit>
  void ForEach(Visit visit) const {
    for (uint32_t index = 0; index < slots_.size(); ++index) {
      if (slots_[index].used) {
        visit(Id{index, slots_[index].generation}, slots_[index].value);
      }
    }
  }

  /// Returns the number of live objects.
  size_t size() const { return slots_.size() - free_.size(); }

 private:
  struct slot {
    T value;
    uint32_t generation = 0;
    bool used = false;
  };

  bool Holds(Id id) const {
    return id.index < slots_.size() && slots_[id.index].used &&
           slots_[id.index].generation == id.generation;
  }

  std::vector<slot> slots_;
  std::vector<uint32_t> free_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_POOL_H_
