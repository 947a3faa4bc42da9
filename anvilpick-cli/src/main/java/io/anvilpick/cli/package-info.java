/**
 * The operator client, which checks questionnaires, accepts the configurations generated from them, and shows what is
 * stored. {@link OperatorCli} is the main class.
 */
@NullMarked
package io.anvilpick.cli;

import org.jspecify.annotations.NullMarked;
