// A random number generator with an explicit seed: the same seed gives the same numbers.
#pragma once

#include <cstdint>
#include <limits>

namespace Ebonystack {

/// The SplitMix64 generator (Steele, Lea, Flood: "Fast splittable pseudorandom number generators", 2014).
/// Meets UniformRandomBitGenerator. Not for secrets, not thread-safe.
class RandomSource {
public:
    using result_type = std::uint64_t;

    explicit RandomSource(std::uint64_t seed)
        : m_state(seed)
    {
    }

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }

    result_type operator()()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    /// A number in [0, bound); `bound` must be positive.
    std::uint64_t below(std::uint64_t bound) { return (*this)() % bound; }

    /// A number in [0, 1).
    double uniform() { return static_cast<double>((*this)() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t m_state;
};

} // namespace Ebonystack
