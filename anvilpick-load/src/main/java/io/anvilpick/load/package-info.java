/** An open-loop load tool that behaves as callers do, and counts from their own records. */
@NullMarked
package io.anvilpick.load;

import org.jspecify.annotations.NullMarked;
