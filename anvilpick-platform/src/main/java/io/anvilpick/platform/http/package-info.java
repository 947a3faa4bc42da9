/** The platform's key-value service and list of VMs over HTTP. */
@NullMarked
package io.anvilpick.platform.http;

import org.jspecify.annotations.NullMarked;
