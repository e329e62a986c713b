// The allocator of oneTBB in test programs with ThreadSanitizer. It is built as libtbbmalloc.so.2,
// which oneTBB uses if it is already loaded.
//
// Debian's libtbbmalloc is not instrumented: it gives memory from thread to thread unseen, and on
// x86-64 its handler at exit releases a mutex of which ThreadSanitizer did not see the acquisition.
// The functions of the C library are intercepted.

#include <cstddef>
#include <cstdlib>

extern "C"
{
  void* scalable_malloc(std::size_t size)
  {
    return std::malloc(size);
  }

  void scalable_free(void* memory)
  {
    std::free(memory);
  }

  void* scalable_aligned_malloc(std::size_t size, std::size_t alignment)
  {
    void* memory = nullptr;
    return posix_memalign(&memory, alignment, size) == 0 ? memory : nullptr;
  }

  void scalable_aligned_free(void* memory)
  {
    std::free(memory);
  }
}
