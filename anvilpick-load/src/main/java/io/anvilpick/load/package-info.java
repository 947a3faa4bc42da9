/**
 * Load generator and benchmarks. The load is open-loop and follows the protocol of callers, including retries. Lost and
 * doubled calls are counted from the execution records of the targets. Start reading at {@link LoadRun}.
 */
@NullMarked
package io.anvilpick.load;

import org.jspecify.annotations.NullMarked;
