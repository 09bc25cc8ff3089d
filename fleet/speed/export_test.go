package speed

import "unsafe"

// ProfileSize is the size of the state of one worker.
const ProfileSize = unsafe.Sizeof(profile{})
